import type { Instant } from "@dandelionbank/types";

/**
 * Returns the time between two instants by the clock that shows most of it, so
 * that neither a suspended VM nor a wall clock that was set back makes the age
 * look shorter.
 */
export function measureAgeMs(since: Instant, now: Instant): number {
  return Math.max(
    now.monotonicMs - since.monotonicMs,
    now.wallMs - since.wallMs,
  );
}
