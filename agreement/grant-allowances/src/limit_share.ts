/**
 * Arithmetic on shares of a contract's limits. Requests a second and tokens a
 * minute are real numbers; concurrent requests are whole ones.
 */

import type {
  LimitShare,
  ShareHolding,
  TimedShare,
} from "@dandelionbank/types";

export const NO_SHARE: LimitShare = {
  requestsPerSecond: 0,
  concurrentRequests: 0,
  tokensPerMinute: 0,
};

/** What a holding allows at `nowMs` of the holder's clock. */
export function shareAt(holding: ShareHolding, nowMs: number): LimitShare {
  const lent = sumInForce(holding.lent, nowMs);
  const borrowed = sumInForce(holding.borrowed, nowMs);
  return addShares(subtractShares(holding.reserved, lent), borrowed);
}

/** The sum of the shares whose time has not come. */
export function sumInForce(
  shares: readonly TimedShare[],
  nowMs: number,
): LimitShare {
  let sum = NO_SHARE;
  for (const timed of shares) {
    if (nowMs < timed.untilMs) sum = addShares(sum, timed.share);
  }
  return sum;
}

export function addShares(left: LimitShare, right: LimitShare): LimitShare {
  return {
    requestsPerSecond: left.requestsPerSecond + right.requestsPerSecond,
    concurrentRequests: left.concurrentRequests + right.concurrentRequests,
    tokensPerMinute: left.tokensPerMinute + right.tokensPerMinute,
  };
}

/** `left` without `right`, and never below nothing. */
export function subtractShares(
  left: LimitShare,
  right: LimitShare,
): LimitShare {
  return {
    requestsPerSecond: Math.max(
      0,
      left.requestsPerSecond - right.requestsPerSecond,
    ),
    concurrentRequests: Math.max(
      0,
      left.concurrentRequests - right.concurrentRequests,
    ),
    tokensPerMinute: Math.max(0, left.tokensPerMinute - right.tokensPerMinute),
  };
}

/** The smaller amount of each limit. */
export function minShares(left: LimitShare, right: LimitShare): LimitShare {
  return {
    requestsPerSecond: Math.min(
      left.requestsPerSecond,
      right.requestsPerSecond,
    ),
    concurrentRequests: Math.min(
      left.concurrentRequests,
      right.concurrentRequests,
    ),
    tokensPerMinute: Math.min(left.tokensPerMinute, right.tokensPerMinute),
  };
}

export function isNoShare(share: LimitShare): boolean {
  return share.requestsPerSecond <= 0 && share.concurrentRequests <= 0 &&
    share.tokensPerMinute <= 0;
}
