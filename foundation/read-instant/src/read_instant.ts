/** Reads every clock that may tell how old something is. */

import type { Instant } from "@dandelionbank/types";
import { uptime } from "node:os";

const MS_PER_S = 1_000;

export function readInstant(): Instant {
  return {
    steadyMs: performance.now(),
    wallMs: Date.now(),
    bootMs: uptime() * MS_PER_S,
  };
}
