/** Signs of life of targets. */

export {
  createProgressTracker,
  hasProgressElsewhere,
  recordProgress,
  retainTargets,
} from "./follow_progress.ts";
export type { ProgressTracker } from "./follow_progress.ts";
