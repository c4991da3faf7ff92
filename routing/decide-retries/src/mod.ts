/** Retry decisions after an attempt has ended. */

export {
  decideFinalAction,
  decideNextAction,
  isRepeatable,
} from "./decide_next_action.ts";
export type {
  AttemptOutcome,
  FinalAction,
  NextAction,
  RequestProgress,
} from "./decide_next_action.ts";
