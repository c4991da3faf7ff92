/** Tracking of the progress of targets. */

export {
  createProgressTracker,
  hasProgressElsewhere,
  recordProgress,
  retainTargets,
} from "./progress_tracker.ts";
export type { ProgressTracker } from "./progress_tracker.ts";
