/**
 * A budget for memory that many parts of a process share. Each part has a claim,
 * which it resizes to what it holds.
 */

export class ByteBudget {
  readonly #totalBytes: number;
  #claimedBytes = 0;

  private constructor(totalBytes: number) {
    this.#totalBytes = totalBytes;
  }

  /** Without `totalBytes`, the budget has no limit. */
  static create(totalBytes = Number.POSITIVE_INFINITY): ByteBudget {
    return new ByteBudget(totalBytes);
  }

  /** The sum of all claims. */
  get claimedBytes(): number {
    return this.#claimedBytes;
  }

  /** Creates a claim of no bytes. */
  createClaim(): ByteClaim {
    let sizeBytes = 0;
    const resize = (toBytes: number): boolean => {
      const claimedBytes = this.#claimedBytes + toBytes - sizeBytes;
      if (toBytes > sizeBytes && claimedBytes > this.#totalBytes) return false;
      this.#claimedBytes = claimedBytes;
      sizeBytes = toBytes;
      return true;
    };
    return { resize, release: () => void resize(0) };
  }
}

export interface ByteClaim {
  /** Returns false, and stays as it is, if the budget has no room to grow. */
  resize(toBytes: number): boolean;
  release(): void;
}
