/**
 * Bounded-load check for prefix affinity. The preferred target may exceed the
 * mean load only slightly, both in the estimated load and in this entry's own
 * requests in flight. The second condition is needed because load reports are
 * delayed and don't show in time that all entries prefer the same target; if
 * every entry balances its own requests, the total is balanced too.
 */

import type { TargetRecord } from "./target_record.ts";

/** Allowed load of the preferred target relative to the mean. */
const AFFINITY_FACTOR = 1.1;
/** Requests allowed in addition to the relative bound. */
const AFFINITY_SLACK = 0.5;
/** Number of requests that is within the bound whatever the mean load is. */
const AFFINITY_MIN_BOUND = 2;

/** Reports whether the preferred target is within the bounds given by the mean. */
export function isWithinAffinityBounds(
  preferred: TargetRecord,
  { candidates, estimate }: {
    readonly candidates: readonly TargetRecord[];
    readonly estimate: (target: TargetRecord) => number;
  },
): boolean {
  return isWithinBound(preferred, candidates, estimate) &&
    isWithinBound(preferred, candidates, ownInFlight);
}

function isWithinBound(
  preferred: TargetRecord,
  candidates: readonly TargetRecord[],
  measure: (target: TargetRecord) => number,
): boolean {
  const bound = AFFINITY_FACTOR * mean(candidates, measure) + AFFINITY_SLACK;
  return measure(preferred) <= Math.max(AFFINITY_MIN_BOUND, bound);
}

function ownInFlight(target: TargetRecord): number {
  return target.ownInFlight;
}

function mean(
  targets: readonly TargetRecord[],
  estimate: (target: TargetRecord) => number,
): number {
  let sum = 0;
  for (const target of targets) sum += estimate(target);
  return sum / targets.length;
}
