import type { Instant } from "@dandelionbank/types";

/** Reads the monotonic clock and the wall clock. */
export function readInstant(): Instant {
  return { monotonicMs: performance.now(), wallMs: Date.now() };
}
