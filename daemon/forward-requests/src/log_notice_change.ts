/** Logs what a target has announced. */

import type { Logger } from "@dandelionbank/log-events";
import type { LimitChange } from "@dandelionbank/share-target-limits";
import type { NoticeChange } from "@dandelionbank/track-notices";

const SHARE_DIGITS = 2;
/** Bounds the log line, whatever a target sends. */
const MAX_VALUE_LENGTH = 64;

export function logNoticeChange(logger: Logger, change: NoticeChange): void {
  switch (change.kind) {
    case "limit":
      return logLimitChange(logger, change.change);
    case "leaving": {
      const { target, isOwn } = change;
      const source = isOwn ? "its answer" : "another entry";
      return logger.log("targetLeaving", { target, source });
    }
    case "notBefore":
      return logger.log("targetNotBefore", {
        target: change.target,
        forMs: change.forMs,
      });
    case "rejected":
      return logger.log("targetNoticeRejected", {
        target: change.target,
        value: change.value.slice(0, MAX_VALUE_LENGTH),
      });
  }
}

function logLimitChange(
  logger: Logger,
  { target, perSecond, sharePerSecond, entryCount }: LimitChange,
): void {
  if (perSecond === undefined) {
    return logger.log("targetLimitEnded", { target });
  }
  logger.log("targetLimited", {
    target,
    perSecond,
    share: Number(sharePerSecond.toFixed(SHARE_DIGITS)),
    entries: entryCount,
  });
}
