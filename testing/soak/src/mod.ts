/** Long randomised runs over the real cores. */

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
