/** Signs of life of targets. */

export {
  createFollowedProgress,
  hasProgressElsewhere,
  keepProgress,
  noteProgress,
} from "./follow_progress.ts";
export type { FollowedProgress } from "./follow_progress.ts";
