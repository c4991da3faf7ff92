/** Admission control for streams to a group. */

export { createAdmissionState, stepAdmission } from "./admit_streams.ts";
export { computeCallerPatienceMs } from "./caller_patience.ts";
export type {
  AdmissionEffect,
  AdmissionEvent,
  AdmissionOptions,
  AdmissionState,
  StreamArrival,
} from "./admit_streams.ts";
