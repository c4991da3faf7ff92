/**
 * Caller patience: how long callers wait for the next event of a stream before
 * they disconnect. It is the longest of a fixed time, a multiple of the route's
 * objective and a multiple of the route's allowed gap between events.
 */

import type { Route } from "@dandelionbank/types";

const MIN_PATIENCE_MS = 2_000;
const OBJECTIVE_MULTIPLE = 4;
const EVENT_GAP_MULTIPLE = 8;

export function computeCallerPatienceMs(
  { objectiveMs, eventGapMs = 0 }: Pick<Route, "objectiveMs" | "eventGapMs">,
): number {
  return Math.max(
    MIN_PATIENCE_MS,
    OBJECTIVE_MULTIPLE * objectiveMs,
    EVENT_GAP_MULTIPLE * eventGapMs,
  );
}
