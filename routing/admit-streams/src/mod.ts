/** Admission of streams to a group. */

export { createAdmission, stepAdmission } from "./admit_streams.ts";
export { readCallerPatience } from "./caller_patience.ts";
export type {
  AdmissionEffect,
  AdmissionEvent,
  AdmissionOptions,
  AdmissionState,
  StreamArrival,
} from "./admit_streams.ts";
