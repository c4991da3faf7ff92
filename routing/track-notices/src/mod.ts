/** Notices that targets give in their answers. */

export { TrackedNotices } from "./tracked_notices.ts";
export type {
  NoticeChange,
  NoticeKind,
  NoticeReports,
} from "./tracked_notices.ts";
