/** Switches of a group's map. */

export {
  createSwitch,
  isIdle,
  needsAllRanks,
  stepSwitch,
} from "./switch_group.ts";
export type { SwitchOptions, SwitchState } from "./switch_group.ts";
export type { Phase, PhaseName, SwitchEffect, SwitchEvent } from "./types.ts";
