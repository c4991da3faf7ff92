/**
 * Limits retries and hedges to a share of an entry's requests, which bounds the
 * extra load on a slow pool.
 */

export interface RetryBudgetOptions {
  readonly ratio: number;
  readonly burst: number;
}

export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  #tokens: number;

  private constructor(options: RetryBudgetOptions) {
    this.#options = options;
    this.#tokens = options.burst;
  }

  static create(options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options);
  }

  recordRequest(): void {
    const { ratio, burst } = this.#options;
    this.#tokens = Math.min(burst, this.#tokens + ratio);
  }

  /** Takes one retry from the budget; returns false if it is exhausted. */
  tryConsumeRetry(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
