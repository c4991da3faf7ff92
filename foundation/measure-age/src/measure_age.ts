/**
 * The age of something that was noted on several clocks: the longest that any
 * of them shows, so that neither a VM that slept nor a time of day that was set
 * back makes it look younger.
 */

import type { Instant } from "@dandelionbank/types";

export function measureAgeMs(since: Instant, now: Instant): number {
  return Math.max(
    now.monotonicMs - since.monotonicMs,
    now.wallMs - since.wallMs,
  );
}
