/**
 * Decides whether a planned map is worth the cost of copying experts. The gain
 * is the pass time saved until demand changes again; the cost is the time by
 * which passes are slower while experts are copied.
 */

import type { ExpertProfile } from "@dandelionbank/types";
import type { ExpertPlan } from "./plan_experts.ts";

/** Relative slowdown of passes while a rank copies experts. */
const COPY_SLOWDOWN = 0.15;
/** Time after which demand is expected to have changed again. */
const EXPECTED_DEMAND_LIFETIME_MS = 3_000;
/** Required ratio of gain to cost, above 1 because demand is only estimated. */
const MIN_GAIN_TO_COST_RATIO = 3;
/** Required saving as part of the pass time; less is within the noise of the counts. */
const MIN_SAVED_SHARE = 0.1;
/**
 * Time that a rank may copy in one change: about as long as a switch takes from
 * the last copy to the first pass with the new map.
 */
const MAX_COPY_TIME_PER_CHANGE_MS = 150;
const BITS_PER_BYTE = 8;
const MS_PER_S = 1_000;

/** Whether the plan saves enough pass time to pay for its copies. */
export function isChangeWorthwhile(
  plan: ExpertPlan,
  profile: ExpertProfile,
): boolean {
  const passBefore = computeRelativePassTime(plan.skewBefore, profile);
  const savedShare = 1 -
    computeRelativePassTime(plan.skewAfter, profile) / passBefore;
  if (savedShare < MIN_SAVED_SHARE) return false;
  const copyMs = estimateCopyMs(plan.maxCopiesOnRank, profile);
  const gainMs = savedShare * Math.max(0, EXPECTED_DEMAND_LIFETIME_MS - copyMs);
  return gainMs > MIN_GAIN_TO_COST_RATIO * COPY_SLOWDOWN * copyMs;
}

/**
 * Maximum number of experts copied to one rank in one change. A switch itself
 * takes several passes; copying for about as long gives a first improvement
 * early, and later changes bring the rest.
 */
export function computeMaxCopiesPerRank(profile: ExpertProfile): number {
  const perCopyMs = estimateCopyMs(1, profile);
  return Math.max(1, Math.floor(MAX_COPY_TIME_PER_CHANGE_MS / perCopyMs));
}

/** Estimates how long a rank takes to copy this number of experts. */
export function estimateCopyMs(
  copies: number,
  { expertMb, linkMbps }: ExpertProfile,
): number {
  return copies * expertMb * BITS_PER_BYTE / linkMbps * MS_PER_S;
}

/** Pass time relative to that of an evenly loaded group. */
function computeRelativePassTime(
  skew: number,
  { workShare }: ExpertProfile,
): number {
  return 1 - workShare + workShare * skew;
}
