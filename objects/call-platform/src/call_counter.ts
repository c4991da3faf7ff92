/** Counts the calls to the platform by kind; all count against its rate limit. */

export interface CallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly vmLists: number;
  /** Calls rejected by the rate limit. */
  readonly refused: number;
  /** Calls whose answer did not arrive completely. */
  readonly lost: number;
}

export class CallCounter {
  #counts: CallCounts = {
    reads: 0,
    writes: 0,
    watches: 0,
    vmLists: 0,
    refused: 0,
    lost: 0,
  };

  get counts(): CallCounts {
    return this.#counts;
  }

  count(kind: keyof CallCounts): void {
    this.#counts = { ...this.#counts, [kind]: this.#counts[kind] + 1 };
  }
}
