/** Decides how much a coordinator lends to one entry, and for how long. */

import type { LimitShare, TimedShare } from "@dandelionbank/types";
import { computeFairCeiling } from "./fair_ceiling.ts";
import {
  addShares,
  isEmptyShare,
  isWithin,
  minShares,
  NO_SHARE,
  roundDown,
  subtractShares,
} from "./limit_share.ts";
import type { Participant } from "./participant.ts";
import { computeReservedShare } from "./compute_reserved_share.ts";
import { LOAN_DURATION_MS, SHORT_LOAN_DURATION_MS } from "./timing.ts";

/** A coordinator's record of the offers and grants of one organisation. */
export interface OrganisationLedger {
  readonly organisation: string;
  limits: LimitShare;
  /** By entry and incarnation. */
  readonly participants: Map<string, Participant>;
  entries: readonly string[];
  contendedUntilMs: number;
  lastOfferCallAtMs: number;
}

/**
 * Grants the larger of a long and a short loan, and the long one if it is no
 * smaller. A short loan can also use the remaining time of offers by lenders
 * that want their share back.
 */
export function decideGrant(
  ledger: OrganisationLedger,
  participant: Participant,
  nowMs: number,
): TimedShare {
  const untilMs = nowMs + LOAN_DURATION_MS;
  const long = computeGrantableShare(ledger, participant, { nowMs, untilMs });
  const shortUntilMs = nowMs + SHORT_LOAN_DURATION_MS;
  const short = computeGrantableShare(ledger, participant, {
    nowMs,
    untilMs: shortUntilMs,
  });
  if (isWithin(short, long)) return { share: long, untilMs };
  return { share: short, untilMs: shortUntilMs };
}

function computeGrantableShare(
  ledger: OrganisationLedger,
  participant: Participant,
  { nowMs, untilMs }: { readonly nowMs: number; readonly untilMs: number },
): LimitShare {
  const wanted = participant.wantedAt(nowMs);
  if (isEmptyShare(wanted)) return NO_SHARE;
  let offered = NO_SHARE;
  let granted = NO_SHARE;
  const wants: LimitShare[] = [];
  for (const other of ledger.participants.values()) {
    const lendable = minShares(
      other.offeredUntil(untilMs),
      computeReservedShareOf(ledger, other.entry),
    );
    offered = addShares(offered, lendable);
    wants.push(other.wantedAt(nowMs));
    if (other !== participant) {
      granted = addShares(granted, other.grantedAt(nowMs));
    }
  }
  const free = subtractShares(offered, granted);
  const share = minShares(free, computeFairShare(wants, offered));
  return roundDown(minShares(wanted, share));
}

/**
 * The most that an entry may lend under the current limits, which may have been
 * lowered since it made its offer.
 */
function computeReservedShareOf(
  ledger: OrganisationLedger,
  entry: string,
): LimitShare {
  const { organisation, entries, limits } = ledger;
  return computeReservedShare(limits, { organisation, entry, entries });
}

/** Concurrent requests are rounded up; the grant is limited to the free ones anyway. */
function computeFairShare(
  wants: readonly LimitShare[],
  offered: LimitShare,
): LimitShare {
  return {
    requestsPerSecond: computeFairCeiling(
      wants.map((want) => want.requestsPerSecond),
      offered.requestsPerSecond,
    ),
    concurrentRequests: Math.ceil(computeFairCeiling(
      wants.map((want) => want.concurrentRequests),
      offered.concurrentRequests,
    )),
    tokensPerMinute: computeFairCeiling(
      wants.map((want) => want.tokensPerMinute),
      offered.tokensPerMinute,
    ),
  };
}
