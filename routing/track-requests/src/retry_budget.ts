/**
 * A budget of retries and hedges as a share of an entry's requests, so that a
 * slow pool gets no more than that much extra work.
 */

export interface RetryBudgetOptions {
  readonly share: number;
  readonly burst: number;
}

export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  #left: number;

  private constructor(options: RetryBudgetOptions) {
    this.#options = options;
    this.#left = options.burst;
  }

  static create(options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options);
  }

  addRequest(): void {
    const { share, burst } = this.#options;
    this.#left = Math.min(burst, this.#left + share);
  }

  /** Takes one retry out of the budget; false if there is none. */
  take(): boolean {
    if (this.#left < 1) return false;
    this.#left -= 1;
    return true;
  }
}
