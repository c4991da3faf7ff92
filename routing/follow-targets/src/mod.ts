/** The targets that the store names. */

export { createTargetTracker, updateTargets } from "./follow_targets.ts";
export type {
  TargetsEvent,
  TargetTracker,
  TargetTrackerOptions,
} from "./follow_targets.ts";
