/**
 * Decides whether a planned map is worth its copies. What a change gains is the
 * pass time that it saves until demand changes again; what it costs is the time
 * by which passes are slower while experts are copied.
 */

import type { ExpertProfile } from "@dandelionbank/types";
import type { ExpertPlan } from "./plan_experts.ts";

/** Passes take so much longer while a rank copies. */
const COPY_SLOWDOWN = 0.15;
/** For how long a plan is expected to fit. */
const EXPECTED_DEMAND_LIFETIME_MS = 3_000;
/** The gain has to be so many times the cost; demand is only estimated. */
const MIN_GAIN_TO_COST_RATIO = 3;
/** Less than this part of the pass time is within the noise of the counts. */
const MIN_SAVED_SHARE = 0.1;
/** About what a switch takes from its last copy to the pass that begins. */
const MAX_COPY_TIME_PER_CHANGE_MS = 150;
const BITS_PER_BYTE = 8;
const MS_PER_S = 1_000;

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
 * Most copies to one rank in one change. A switch itself takes some passes; to
 * copy for about as long lets a first relief come soon, and the next change
 * brings the rest.
 */
export function computeMaxCopiesPerRank(profile: ExpertProfile): number {
  const perCopyMs = estimateCopyMs(1, profile);
  return Math.max(1, Math.floor(MAX_COPY_TIME_PER_CHANGE_MS / perCopyMs));
}

/** How long a rank copies so many experts. */
export function estimateCopyMs(
  copies: number,
  { expertMb, linkMbps }: ExpertProfile,
): number {
  return copies * expertMb * BITS_PER_BYTE / linkMbps * MS_PER_S;
}

/** A pass's duration, in parts of what it takes with even experts. */
function computeRelativePassTime(
  skew: number,
  { workShare }: ExpertProfile,
): number {
  return 1 - workShare + workShare * skew;
}
