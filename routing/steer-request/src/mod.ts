/** What follows an attempt. */

export {
  createFollowedProgress,
  hasProgressElsewhere,
  keepProgress,
  noteProgress,
} from "./follow_progress.ts";
export type { FollowedProgress } from "./follow_progress.ts";
export { decideFinal, decideNext, isRepeatable } from "./steer_request.ts";
export type {
  AttemptOutcome,
  FinalMove,
  NextMove,
  RequestProgress,
} from "./steer_request.ts";
