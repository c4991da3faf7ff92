import type { Instant } from "@dandelionbank/types";

/** Reads the monotonic clock and the wall clock, by which an age is measured. */
export function readInstant(): Instant {
  return { monotonicMs: performance.now(), wallMs: Date.now() };
}
