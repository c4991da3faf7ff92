/** How long to wait before a call is made again, spread so that callers don't return together. */

import { computeBackoffMs } from "@dandelionbank/back-off";

const BASE_DELAY_MS = 50;

/** After a refusal for rate: at least as long as asked, at most half as long again. */
export function delayAfterRefusal(
  retryAfter: string | undefined,
  random: () => number,
): number {
  const askedMs = Number(retryAfter) * 1000 || BASE_DELAY_MS;
  return askedMs * (1 + random() / 2);
}

/** After a lost answer: doubled with each attempt, and half of it left to chance. */
export function delayAfterLoss(attempt: number, random: () => number): number {
  return computeBackoffMs(attempt + 1, {
    firstMs: BASE_DELAY_MS,
    longestMs: Number.POSITIVE_INFINITY,
    random: random(),
  });
}
