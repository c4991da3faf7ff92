/**
 * Remembers when a target last wrote an answer on each prompt part without
 * crashing, and how many prompts have been answered by then at all entries.
 */

export interface PartSurvival {
  readonly atMs: number;
  /** Prompts that had been answered until then. */
  readonly promptCount: number;
}

export class PartSurvivals {
  readonly #maxParts: number;
  /** In the order of the latest survival. */
  readonly #survivals = new Map<string, PartSurvival>();
  #ownPrompts = 0;
  readonly #promptsByEntry = new Map<string, number>();
  #otherPrompts = 0;

  private constructor(maxParts: number) {
    this.#maxParts = maxParts;
  }

  static create(maxParts: number): PartSurvivals {
    return new PartSurvivals(maxParts);
  }

  /** Prompts that this entry has seen answered. */
  get ownPromptCount(): number {
    return this.#ownPrompts;
  }

  /** Records an answer to a prompt with these parts. */
  recordPrompt(parts: readonly string[], nowMs: number): void {
    this.#ownPrompts += 1;
    for (const part of parts) this.#record(part, nowMs);
  }

  /** Records an answer that another entry has seen. */
  recordPart(part: string, atMs: number): void {
    const known = this.#survivals.get(part);
    if (known === undefined || known.atMs < atMs) this.#record(part, atMs);
  }

  /** Records how many prompts another entry has seen answered in its life. */
  recordPromptCount(entry: string, count: number): void {
    const known = this.#promptsByEntry.get(entry);
    this.#promptsByEntry.set(entry, count);
    if (known === undefined) return;
    // A lower count is that of an entry that has started anew.
    this.#otherPrompts += count >= known ? count - known : count;
  }

  find(part: string): PartSurvival | undefined {
    return this.#survivals.get(part);
  }

  /** Counts the prompts answered since the part was last, or since the start. */
  countPromptsSince(part: string): number {
    return this.#promptCount - (this.find(part)?.promptCount ?? 0);
  }

  get #promptCount(): number {
    return this.#ownPrompts + this.#otherPrompts;
  }

  #record(part: string, atMs: number): void {
    this.#survivals.delete(part);
    if (this.#survivals.size >= this.#maxParts) {
      const [oldest] = this.#survivals.keys();
      if (oldest !== undefined) this.#survivals.delete(oldest);
    }
    this.#survivals.set(part, { atMs, promptCount: this.#promptCount });
  }
}
