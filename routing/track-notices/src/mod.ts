/** Notices that targets give in their answers. */

export { TrackedNotices } from "./tracked_notices.ts";
export type {
  NoticeChange,
  NoticeKind,
  NoticeReports,
  TrackedNoticesOptions,
} from "./tracked_notices.ts";
