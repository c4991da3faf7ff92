/**
 * Measures the demand of an organisation's requests at one entry, including
 * refused requests. An increase takes effect at the next measurement; a decrease
 * is smoothed over several, so that a share isn't lent out during a pause
 * between two requests.
 */

import type { LimitShare } from "@dandelionbank/types";

/** Weight of a measurement that is below the current demand. */
const DECREASE_WEIGHT = 0.2;
const SECOND_MS = 1_000;
const MINUTE_MS = 60_000;
/** Shorter windows give no meaningful rates. */
const MIN_WINDOW_MS = 100;

export class DemandMeter {
  #windowStartMs: number;
  #arrivals = 0;
  #tokens = 0;
  #peakConcurrent = 0;
  #demand = { requestsPerSecond: 0, concurrentRequests: 0, tokensPerMinute: 0 };

  private constructor(nowMs: number) {
    this.#windowStartMs = nowMs;
  }

  static create(nowMs: number): DemandMeter {
    return new DemandMeter(nowMs);
  }

  /** Records an arrival; `concurrent` is the requests in flight including it. */
  recordArrival(estimatedTokens: number, concurrent: number): void {
    this.#arrivals += 1;
    this.#tokens += estimatedTokens;
    this.#peakConcurrent = Math.max(this.#peakConcurrent, concurrent);
  }

  /**
   * Ends the window and returns the demand; `undefined` if the window was too
   * short. Refused requests are counted as if they had been in flight for the
   * mean duration.
   */
  measure(
    { inFlight, meanDurationMs }: {
      readonly inFlight: number;
      readonly meanDurationMs: number;
    },
    nowMs: number,
  ): LimitShare | undefined {
    const windowMs = nowMs - this.#windowStartMs;
    if (windowMs < MIN_WINDOW_MS) return undefined;
    const { requestsPerSecond, concurrentRequests, tokensPerMinute } =
      this.#demand;
    const concurrent = Math.max(
      inFlight,
      this.#peakConcurrent,
      this.#arrivals * meanDurationMs / windowMs,
    );
    this.#demand = {
      requestsPerSecond: smoothDecrease(
        requestsPerSecond,
        this.#arrivals * SECOND_MS / windowMs,
      ),
      concurrentRequests: smoothDecrease(concurrentRequests, concurrent),
      tokensPerMinute: smoothDecrease(
        tokensPerMinute,
        this.#tokens * MINUTE_MS / windowMs,
      ),
    };
    this.#windowStartMs = nowMs;
    this.#arrivals = 0;
    this.#tokens = 0;
    this.#peakConcurrent = 0;
    return {
      ...this.#demand,
      concurrentRequests: Math.ceil(this.#demand.concurrentRequests),
    };
  }
}

function smoothDecrease(current: number, measured: number): number {
  if (measured >= current) return measured;
  const next = current + DECREASE_WEIGHT * (measured - current);
  return next < 0.01 ? 0 : next;
}
