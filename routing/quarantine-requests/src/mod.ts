/** Quarantines requests that crash the targets that run them. */

export {
  createQuarantineState,
  evaluateFingerprint,
  step,
} from "./quarantine_requests.ts";
export type { QuarantineState } from "./quarantine_requests.ts";
export type * from "./events.ts";
