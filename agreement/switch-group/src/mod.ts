/** State machine that switches a group to a new expert map. */

export {
  canStartSwitch,
  requiresAllReports,
  requiresCurrentMap,
  stepSwitch,
} from "./switch_group.ts";
export { createSwitchState } from "./switch_state.ts";
export type { SwitchOptions, SwitchState } from "./switch_state.ts";
export type { SwitchEffect, SwitchEvent } from "./types.ts";
