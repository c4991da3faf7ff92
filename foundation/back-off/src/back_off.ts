/**
 * Exponential backoff with jitter: half of each delay is random, which spreads
 * the retries of several clients.
 */

export interface BackoffOptions {
  /** Longest delay after the first failure; it doubles with each further one. */
  readonly firstMs: number;
  readonly longestMs: number;
  /** A random number from 0 to below 1. */
  readonly random: number;
}

/** Returns the delay after `failures` consecutive failures; `failures` is at least 1. */
export function computeBackoffMs(
  failures: number,
  { firstMs, longestMs, random }: BackoffOptions,
): number {
  const limitMs = Math.min(longestMs, firstMs * 2 ** (failures - 1));
  return limitMs * (0.5 + random / 2);
}
