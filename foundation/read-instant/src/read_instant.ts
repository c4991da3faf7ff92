/** Reads every clock that may tell how old something is. */

import type { Instant } from "@dandelionbank/types";

export function readInstant(): Instant {
  return { monotonicMs: performance.now(), wallMs: Date.now() };
}
