/** Switches of a group's map. */

export { isIdle, needsAllRanks, stepSwitch } from "./switch_group.ts";
export { createSwitch } from "./switch_state.ts";
export type { SwitchOptions, SwitchState } from "./switch_state.ts";
export type { SwitchEffect, SwitchEvent } from "./types.ts";
