/** What follows an attempt. */

export {
  decideFinalAction,
  decideNextAction,
  isRepeatable,
} from "./steer_request.ts";
export type {
  AttemptOutcome,
  FinalAction,
  NextAction,
  RequestProgress,
} from "./steer_request.ts";
