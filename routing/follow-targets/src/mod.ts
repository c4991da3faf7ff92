/** The targets that the store names. */

export { createFollowedTargets, stepTargets } from "./follow_targets.ts";
export type {
  FollowedTargets,
  FollowedTargetsOptions,
  TargetsEvent,
} from "./follow_targets.ts";
