/** Tracking of the targets registered in the store. */

export { createTargetTracker, updateTargets } from "./target_tracker.ts";
export type {
  TargetsEvent,
  TargetTracker,
  TargetTrackerOptions,
} from "./target_tracker.ts";
