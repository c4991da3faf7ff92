/** Admits attempts at an agent and keeps its table of request keys. */

export { countChecks, readFigures, step } from "./admit_attempts.ts";
export type { AdmitFigures } from "./admit_attempts.ts";
export { createAdmitState } from "./state.ts";
export type { AdmitState } from "./state.ts";
export type * from "./events.ts";
