/** Retries calls to the store until one succeeds. */

import { computeBackoffMs } from "@dandelionbank/back-off";
import { setTimeout as delay } from "node:timers/promises";

const FIRST_BACKOFF_MS = 200;
const LONGEST_BACKOFF_MS = 3_000;

/**
 * Calls `run` until it returns a value, waiting longer after each failure; returns
 * undefined if the process is stopped first.
 */
export async function retryCall<Value>(
  run: () => Promise<Value | undefined>,
  isStopped: () => boolean,
): Promise<Value | undefined> {
  for (let failures = 1; !isStopped(); failures++) {
    const value = await run();
    if (value !== undefined) return value;
    await delay(computeBackoffMs(failures, {
      firstMs: FIRST_BACKOFF_MS,
      longestMs: LONGEST_BACKOFF_MS,
      random: Math.random(),
    }));
  }
  return undefined;
}
