/** How long requests take, as a mean in which later ones count more. */

const TYPICAL_DURATION_MS = 1_000;
const WEIGHT = 0.1;

export class MeanDuration {
  #meanMs = TYPICAL_DURATION_MS;

  static create(): MeanDuration {
    return new MeanDuration();
  }

  get meanMs(): number {
    return this.#meanMs;
  }

  add(durationMs: number): void {
    this.#meanMs += WEIGHT * (durationMs - this.#meanMs);
  }

  /** Time between two ends while so many requests are in flight. */
  betweenEndsMs(inFlight: number): number {
    return inFlight === 0 ? Infinity : this.#meanMs / inFlight;
  }
}
