/** Exponential backoff; half of each wait is left to chance, to spread tries. */

export interface BackoffOptions {
  /** Longest wait after the first failure; it doubles with each further one. */
  readonly firstMs: number;
  readonly longestMs: number;
  /** From 0 to below 1. */
  readonly random: number;
}

/** The wait after `failures` tries in a row have failed, 1 or more. */
export function computeBackoffMs(
  failures: number,
  { firstMs, longestMs, random }: BackoffOptions,
): number {
  const limitMs = Math.min(longestMs, firstMs * 2 ** (failures - 1));
  return limitMs * (0.5 + random / 2);
}
