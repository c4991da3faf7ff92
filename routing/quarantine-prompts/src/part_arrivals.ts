/** Estimates in which share of all prompts each part occurs. */

/** Prompts without which an estimate says little. */
const MIN_PROMPTS = 20;

export class PartArrivals {
  readonly #maxParts: number;
  /** Prompts with each part, in the order of the latest arrival. */
  readonly #counts = new Map<string, number>();
  #promptCount = 0;

  private constructor(maxParts: number) {
    this.#maxParts = maxParts;
  }

  static create(maxParts: number): PartArrivals {
    return new PartArrivals(maxParts);
  }

  record(parts: readonly string[]): void {
    this.#promptCount += 1;
    for (const part of parts) {
      const count = this.#counts.get(part) ?? 0;
      this.#counts.delete(part);
      if (this.#counts.size >= this.#maxParts) {
        const [oldest] = this.#counts.keys();
        if (oldest !== undefined) this.#counts.delete(oldest);
      }
      this.#counts.set(part, count + 1);
    }
  }

  /**
   * Returns the share of prompts with the part, from 0 to 1; undefined if too few
   * have arrived. A part that has not arrived here counts as one that just will.
   */
  estimateShare(part: string): number | undefined {
    if (this.#promptCount < MIN_PROMPTS) return undefined;
    const count = this.#counts.get(part) ?? 0;
    return Math.min(1, (count + 1) / (this.#promptCount + 1));
  }
}
