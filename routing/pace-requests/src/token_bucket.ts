/**
 * A token bucket whose rate may change at any time. It starts with at most one
 * second's worth of its rate, so that the buckets of one limit at many entries
 * don't each start with a full burst. A charge may exceed the balance
 * when its amount is known only afterwards; the debt is then repaid before
 * anything else is admitted.
 */

/** The initial balance is this time's worth of the rate. */
const INITIAL_FILL_MS = 1_000;

export interface TokenBucketOptions {
  /** The depth is this time's worth of the rate. */
  readonly burstMs: number;
  /** Minimum depth, so that one unit can accumulate at any rate. */
  readonly minDepth: number;
}

export class TokenBucket {
  readonly #options: TokenBucketOptions;
  #ratePerMs = 0;
  #balance = 0;
  #updatedAtMs: number;
  #hasRate = false;

  private constructor(options: TokenBucketOptions, nowMs: number) {
    this.#options = options;
    this.#updatedAtMs = nowMs;
  }

  static create(options: TokenBucketOptions, nowMs: number): TokenBucket {
    return new TokenBucket(options, nowMs);
  }

  /** Refills at the old rate up to `nowMs`, and at the new one from then on. */
  setRate(ratePerMs: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#ratePerMs = ratePerMs;
    if (!this.#hasRate) this.#balance = ratePerMs * INITIAL_FILL_MS;
    this.#hasRate = true;
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
    this.#refill(nowMs);
    return this.#balance;
  }

  /** Returns the time until `amount`, or the depth if that is less, is available. */
  waitMs(amount: number, nowMs: number): number {
    const missing = Math.min(amount, this.depth) - this.balanceAt(nowMs);
    if (missing <= 1e-9) return 0;
    if (this.#ratePerMs <= 0) return Infinity;
    return missing / this.#ratePerMs;
  }

  /** Deducts `amount`; a negative amount is a refund. */
  charge(amount: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#balance = Math.min(this.depth, this.#balance - amount);
  }

  #refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    this.#balance = Math.min(
      this.depth,
      this.#balance + elapsedMs * this.#ratePerMs,
    );
    this.#updatedAtMs = Math.max(nowMs, this.#updatedAtMs);
  }
}
