/** Counts the calls to the platform by kind; each counts against its rate. */

export interface CallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly vmLists: number;
  /** Refused for rate. */
  readonly refused: number;
  /** Answers that never came whole. */
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
