/** Delays before retries, randomised so that clients do not retry in step. */

import { computeBackoffMs } from "@dandelionbank/back-off";

const BASE_DELAY_MS = 50;

/**
 * Computes the delay after a rate-limited call: between 1 and 1.5 times the
 * `Retry-After` value.
 */
export function computeRateLimitDelayMs(
  retryAfter: string | undefined,
  random: () => number,
): number {
  const retryAfterMs = Number(retryAfter) * 1000 || BASE_DELAY_MS;
  return retryAfterMs * (1 + random() / 2);
}

/**
 * Computes the delay after a lost answer, which doubles with each attempt. Half
 * of it is random.
 */
export function computeRetryDelayMs(
  attempt: number,
  random: () => number,
): number {
  return computeBackoffMs(attempt + 1, {
    firstMs: BASE_DELAY_MS,
    longestMs: Number.POSITIVE_INFINITY,
    random: random(),
  });
}
