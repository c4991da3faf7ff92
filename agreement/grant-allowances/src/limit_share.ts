/**
 * Arithmetic on shares of a contract's limits. Requests per second and tokens
 * per minute are real numbers; concurrent requests are integers.
 */

import type {
  LimitShare,
  ShareHolding,
  TimedShare,
} from "@dandelionbank/types";

/** Relative difference up to which amounts count as equal. */
const ROUNDING_TOLERANCE = 1e-9;

/** Messages carry requests per second in thousandths. */
const RATE_STEPS_PER_REQUEST = 1_000;

export const NO_SHARE: LimitShare = {
  requestsPerSecond: 0,
  concurrentRequests: 0,
  tokensPerMinute: 0,
};

/** Computes what a holding allows at `nowMs` of the holder's clock. */
export function computeUsableShare(
  holding: ShareHolding,
  nowMs: number,
): LimitShare {
  const lent = sumUnexpired(holding.lent, nowMs);
  const borrowed = sumUnexpired(holding.borrowed, nowMs);
  return addShares(subtractShares(holding.reserved, lent), borrowed);
}

/** Adds up the shares that have not expired. */
export function sumUnexpired(
  shares: readonly TimedShare[],
  nowMs: number,
): LimitShare {
  let sum = NO_SHARE;
  for (const timed of shares) {
    if (nowMs < timed.untilMs) sum = addShares(sum, timed.share);
  }
  return sum;
}

/** Combines two shares limit by limit. */
export function combineShares(
  [left, right]: readonly [LimitShare, LimitShare],
  combine: (left: number, right: number) => number,
): LimitShare {
  return {
    requestsPerSecond: combine(
      left.requestsPerSecond,
      right.requestsPerSecond,
    ),
    concurrentRequests: combine(
      left.concurrentRequests,
      right.concurrentRequests,
    ),
    tokensPerMinute: combine(left.tokensPerMinute, right.tokensPerMinute),
  };
}

export function addShares(left: LimitShare, right: LimitShare): LimitShare {
  return combineShares([left, right], (a, b) => a + b);
}

/** Subtracts `right` from `left`, down to 0. */
export function subtractShares(
  left: LimitShare,
  right: LimitShare,
): LimitShare {
  return combineShares([left, right], (a, b) => Math.max(0, a - b));
}

export function minShares(left: LimitShare, right: LimitShare): LimitShare {
  return combineShares([left, right], Math.min);
}

export function maxShares(left: LimitShare, right: LimitShare): LimitShare {
  return combineShares([left, right], Math.max);
}

/** Multiplies the share by `factor`; concurrent requests are rounded. */
export function scaleShare(share: LimitShare, factor: number): LimitShare {
  return {
    requestsPerSecond: share.requestsPerSecond * factor,
    concurrentRequests: Math.round(share.concurrentRequests * factor),
    tokensPerMinute: share.tokensPerMinute * factor,
  };
}

/** Rounds down to the precision of messages, so that rounding never adds to a share. */
export function roundDown(share: LimitShare): LimitShare {
  return {
    requestsPerSecond: floorTo(share.requestsPerSecond, RATE_STEPS_PER_REQUEST),
    concurrentRequests: Math.floor(share.concurrentRequests),
    tokensPerMinute: Math.floor(share.tokensPerMinute),
  };
}

function floorTo(value: number, stepsPerUnit: number): number {
  return Math.floor(value * stepsPerUnit) / stepsPerUnit;
}

export function isEmptyShare(share: LimitShare): boolean {
  return share.requestsPerSecond <= 0 && share.concurrentRequests <= 0 &&
    share.tokensPerMinute <= 0;
}

/** Whether `part` is within `whole` in each limit, up to rounding. */
export function isWithin(part: LimitShare, whole: LimitShare): boolean {
  return isAtMost(part.requestsPerSecond, whole.requestsPerSecond) &&
    isAtMost(part.concurrentRequests, whole.concurrentRequests) &&
    isAtMost(part.tokensPerMinute, whole.tokensPerMinute);
}

function isAtMost(part: number, whole: number): boolean {
  return part <= whole + ROUNDING_TOLERANCE * Math.max(1, whole);
}
