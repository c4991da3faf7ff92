/** What follows an attempt. */

export { decideFinal, decideNext, isRepeatable } from "./steer_request.ts";
export type {
  AttemptOutcome,
  FinalMove,
  NextMove,
  RequestProgress,
} from "./steer_request.ts";
