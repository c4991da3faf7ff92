/** Randomised runs and measurements of limits, configuration and placement. */

export { runLimits } from "./limits_soak.ts";
export type { RunReport } from "./run_report.ts";
