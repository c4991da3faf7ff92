/**
 * A token bucket whose rate may change at any time. It starts with what its
 * rate gives in a second, so that many small buckets of one limit don't start
 * with a burst each. A charge may exceed the balance where the amount is only
 * known afterwards; the debt is then paid before anything else is admitted.
 */

const START_MS = 1_000;

export interface TokenBucketOptions {
  /** How long an idle bucket saves up. */
  readonly burstMs: number;
  /** Least depth, so that one unit can be saved up at any rate. */
  readonly minDepth: number;
}

export class TokenBucket {
  readonly #options: TokenBucketOptions;
  #ratePerMs = 0;
  #balance = 0;
  #updatedAtMs: number;
  #started = false;

  private constructor(options: TokenBucketOptions, nowMs: number) {
    this.#options = options;
    this.#updatedAtMs = nowMs;
  }

  static create(options: TokenBucketOptions, nowMs: number): TokenBucket {
    return new TokenBucket(options, nowMs);
  }

  /** Earns at the old rate up to `nowMs`, and at the new one from then on. */
  setRate(ratePerMs: number, nowMs: number): void {
    this.#earn(nowMs);
    this.#ratePerMs = ratePerMs;
    if (!this.#started) this.#balance = ratePerMs * START_MS;
    this.#started = true;
    this.#balance = Math.min(this.#balance, this.depth);
  }

  get depth(): number {
    return Math.max(
      this.#options.minDepth,
      this.#ratePerMs * this.#options.burstMs,
    );
  }

  get ratePerMs(): number {
    return this.#ratePerMs;
  }

  balanceAt(nowMs: number): number {
    this.#earn(nowMs);
    return this.#balance;
  }

  /** Time until `amount`, or the depth if that is less, can be charged. */
  waitMs(amount: number, nowMs: number): number {
    const missing = Math.min(amount, this.depth) - this.balanceAt(nowMs);
    if (missing <= 1e-9) return 0;
    if (this.#ratePerMs <= 0) return Infinity;
    return missing / this.#ratePerMs;
  }

  /** Takes `amount`, which may be negative to give some back. */
  charge(amount: number, nowMs: number): void {
    this.#earn(nowMs);
    this.#balance = Math.min(this.depth, this.#balance - amount);
  }

  #earn(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    this.#balance = Math.min(
      this.depth,
      this.#balance + elapsedMs * this.#ratePerMs,
    );
    this.#updatedAtMs = Math.max(nowMs, this.#updatedAtMs);
  }
}
