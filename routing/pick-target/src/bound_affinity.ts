/**
 * Bounds the preference of a prompt's prefix for a target. The target may be
 * little above the mean, both by the estimate and by what this entry has there
 * itself: late reports don't show in time that all entries prefer the same
 * target, but if each keeps its own part even, the sum is even too.
 */

import type { TargetRecord } from "./target_record.ts";

/** A preferred target may be this much busier than the mean. */
const AFFINITY_FACTOR = 1.1;
const AFFINITY_SLACK = 0.5;
/** A target with so few requests serves a prefix whatever the mean is. */
const AFFINITY_MIN_BOUND = 2;

/** Whether the preferred target may be taken, given all that may be. */
export function isAffinityBounded(
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
