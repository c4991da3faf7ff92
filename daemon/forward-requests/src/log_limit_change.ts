/** Logs a change of the limit in force for a target. */

import type { Logger } from "@dandelionbank/log-events";
import type { LimitChange } from "@dandelionbank/share-target-limits";

const SHARE_DIGITS = 2;

export function logLimitChange(
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
