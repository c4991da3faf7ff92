/** Randomised runs of the product's cores in virtual time. */

export { measureEntryKill } from "./requests/entry_kill_run.ts";
export type {
  EntryKillFigures,
  EntryKillOptions,
} from "./requests/entry_kill_run.ts";
export { measureSwitch } from "./map/measure_switch.ts";
export type { SwitchFigures, SwitchOptions } from "./map/measure_switch.ts";
export { SOAKS } from "./registry.ts";
export { addTally, runSoak } from "./soak.ts";
export type {
  RunReport,
  Soak,
  SoakOptions,
  SoakSummary,
  SoakViolation,
  Tally,
} from "./soak.ts";
