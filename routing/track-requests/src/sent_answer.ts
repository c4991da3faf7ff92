/**
 * The part of an answer that has been sent to the callers. The answer of a later
 * attempt is compared with it, and only the remainder is sent.
 */

import type { AttemptAnswerHead } from "@dandelionbank/types";

export interface SentAnswerOptions {
  /** Whether the data is kept for repeats and comparison. */
  readonly keep: boolean;
  /** Target that began the answer; `undefined` if the answer is relayed. */
  readonly target: string | undefined;
}

export class SentAnswer {
  readonly head: AttemptAnswerHead;
  readonly target: string | undefined;
  /** Number of characters sent. */
  characters = 0;
  readonly #chunks: string[] = [];
  readonly #keep: boolean;
  #joined: string | undefined;

  constructor(head: AttemptAnswerHead, options: SentAnswerOptions) {
    this.head = head;
    this.target = options.target;
    this.#keep = options.keep;
  }

  /** The data sent; empty if it is not kept. */
  get chunks(): readonly string[] {
    return this.#chunks;
  }

  /** Whether another attempt's answer can continue this one. */
  get canResume(): boolean {
    return this.characters === 0 || this.#keep;
  }

  matchesHead(head: AttemptAnswerHead): boolean {
    return head.status === this.head.status &&
      head.contentType === this.head.contentType &&
      head.encoding === this.head.encoding;
  }

  /**
   * Appends data that starts at a character offset of the answer. Returns the
   * part that was not sent before, or `undefined` if the data differs from what
   * was sent.
   */
  append(data: string, offset: number): string | undefined {
    const overlap = Math.min(data.length, this.characters - offset);
    if (overlap < 0) return undefined;
    if (overlap > 0 && !this.#matches(data.slice(0, overlap), offset)) {
      return undefined;
    }
    const fresh = overlap === 0 ? data : data.slice(overlap);
    if (fresh === "") return fresh;
    this.characters += fresh.length;
    if (this.#keep) this.#chunks.push(fresh);
    this.#joined = undefined;
    return fresh;
  }

  #matches(data: string, offset: number): boolean {
    this.#joined ??= this.#chunks.join("");
    return this.#joined.startsWith(data, offset);
  }
}
