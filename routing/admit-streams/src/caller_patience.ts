/**
 * How long callers wait for a stream's next event before they leave it: the
 * longest of a fixed time and of multiples of the objective and of the longest
 * pause that is on time.
 */

import type { Route } from "@dandelionbank/types";

const FIXED_MS = 2_000;
const OBJECTIVES = 4;
const EVENT_GAPS = 8;

export function computeCallerPatienceMs(
  { objectiveMs, eventGapMs = 0 }: Pick<Route, "objectiveMs" | "eventGapMs">,
): number {
  return Math.max(FIXED_MS, OBJECTIVES * objectiveMs, EVENT_GAPS * eventGapMs);
}
