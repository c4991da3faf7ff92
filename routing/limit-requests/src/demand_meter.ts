/**
 * What an organisation's requests need at one entry, refused ones included.
 * A rise shows at the next measurement; a fall fades in over several, so that
 * a share isn't lent in a pause between two requests.
 */

import type { LimitShare } from "@dandelionbank/types";

const FALL_WEIGHT = 0.2;
const SECOND_MS = 1_000;
const MINUTE_MS = 60_000;
const MIN_WINDOW_MS = 100;

export class DemandMeter {
  #sinceMs: number;
  #arrivals = 0;
  #tokens = 0;
  #mostConcurrent = 0;
  #demand = { requestsPerSecond: 0, concurrentRequests: 0, tokensPerMinute: 0 };

  private constructor(nowMs: number) {
    this.#sinceMs = nowMs;
  }

  static create(nowMs: number): DemandMeter {
    return new DemandMeter(nowMs);
  }

  /** Notes an arrival, with the requests that would then be in flight. */
  note(estimatedTokens: number, concurrent: number): void {
    this.#arrivals += 1;
    this.#tokens += estimatedTokens;
    this.#mostConcurrent = Math.max(this.#mostConcurrent, concurrent);
  }

  /**
   * Ends a window; `undefined` if it was too short to say anything. Refused
   * requests would have been in flight for the mean duration.
   */
  measure(
    { inFlight, meanDurationMs }: {
      readonly inFlight: number;
      readonly meanDurationMs: number;
    },
    nowMs: number,
  ): LimitShare | undefined {
    const windowMs = nowMs - this.#sinceMs;
    if (windowMs < MIN_WINDOW_MS) return undefined;
    const { requestsPerSecond, concurrentRequests, tokensPerMinute } =
      this.#demand;
    const concurrent = Math.max(
      inFlight,
      this.#mostConcurrent,
      this.#arrivals * meanDurationMs / windowMs,
    );
    this.#demand = {
      requestsPerSecond: follow(
        requestsPerSecond,
        this.#arrivals * SECOND_MS / windowMs,
      ),
      concurrentRequests: follow(concurrentRequests, concurrent),
      tokensPerMinute: follow(
        tokensPerMinute,
        this.#tokens * MINUTE_MS / windowMs,
      ),
    };
    this.#sinceMs = nowMs;
    this.#arrivals = 0;
    this.#tokens = 0;
    this.#mostConcurrent = 0;
    return {
      ...this.#demand,
      concurrentRequests: Math.ceil(this.#demand.concurrentRequests),
    };
  }
}

function follow(known: number, measured: number): number {
  if (measured >= known) return measured;
  const next = known + FALL_WEIGHT * (measured - known);
  return next < 0.01 ? 0 : next;
}
