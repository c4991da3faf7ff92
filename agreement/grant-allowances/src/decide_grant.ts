/** How much a coordinator lends to one entry, and for how long. */

import type { LimitShare, TimedShare } from "@dandelionbank/types";
import { fairCeiling } from "./divide_fairly.ts";
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

/** A coordinator's books on one organisation. */
export interface OrganisationLedger {
  readonly organisation: string;
  limits: LimitShare;
  /** By entry and incarnation. */
  readonly participants: Map<string, Participant>;
  entries: readonly string[];
  contendedUntilMs: number;
  calledAtMs: number;
}

/**
 * The largest loan, and the longest of equal ones. A short one can be made
 * from what a lender that wants its share back is still bound to.
 */
export function decideGrant(
  division: OrganisationLedger,
  participant: Participant,
  nowMs: number,
): TimedShare {
  const untilMs = nowMs + LOAN_DURATION_MS;
  const long = sizeGrant(division, participant, { nowMs, untilMs });
  const shortUntilMs = nowMs + SHORT_LOAN_DURATION_MS;
  const short = sizeGrant(division, participant, {
    nowMs,
    untilMs: shortUntilMs,
  });
  if (isWithin(short, long)) return { share: long, untilMs };
  return { share: short, untilMs: shortUntilMs };
}

function sizeGrant(
  division: OrganisationLedger,
  participant: Participant,
  { nowMs, untilMs }: { readonly nowMs: number; readonly untilMs: number },
): LimitShare {
  const wanted = participant.wantedAt(nowMs);
  if (isEmptyShare(wanted)) return NO_SHARE;
  let offered = NO_SHARE;
  let used = NO_SHARE;
  const wants: LimitShare[] = [];
  for (const other of division.participants.values()) {
    const bound = minShares(
      other.boundUntil(untilMs),
      reservedFor(division, other.entry),
    );
    offered = addShares(offered, bound);
    wants.push(other.wantedAt(nowMs));
    if (other !== participant) used = addShares(used, other.grantedAt(nowMs));
  }
  const free = subtractShares(offered, used);
  const part = minShares(free, fairPart(wants, offered));
  return roundDown(minShares(wanted, part));
}

/** What an entry may lend by now, though it offered before a limit was lowered. */
function reservedFor(division: OrganisationLedger, entry: string): LimitShare {
  const { organisation, entries, limits } = division;
  return computeReservedShare(limits, { organisation, entry, entries });
}

/** Whole requests are rounded up, since the free ones bound the grant anyway. */
function fairPart(
  wants: readonly LimitShare[],
  offered: LimitShare,
): LimitShare {
  return {
    requestsPerSecond: fairCeiling(
      wants.map((want) => want.requestsPerSecond),
      offered.requestsPerSecond,
    ),
    concurrentRequests: Math.ceil(fairCeiling(
      wants.map((want) => want.concurrentRequests),
      offered.concurrentRequests,
    )),
    tokensPerMinute: fairCeiling(
      wants.map((want) => want.tokensPerMinute),
      offered.tokensPerMinute,
    ),
  };
}
