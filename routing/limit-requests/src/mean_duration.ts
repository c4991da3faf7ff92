/** Exponential moving average of request durations. */

/** Initial value, used until requests have ended. */
const INITIAL_DURATION_MS = 1_000;
const LATEST_WEIGHT = 0.1;

export class MeanDuration {
  #meanMs = INITIAL_DURATION_MS;

  static create(): MeanDuration {
    return new MeanDuration();
  }

  get meanMs(): number {
    return this.#meanMs;
  }

  add(durationMs: number): void {
    this.#meanMs += LATEST_WEIGHT * (durationMs - this.#meanMs);
  }

  /** Expected time between two request ends with `inFlight` requests in flight. */
  endIntervalMs(inFlight: number): number {
    return inFlight === 0 ? Infinity : this.#meanMs / inFlight;
  }
}
