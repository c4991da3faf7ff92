/**
 * The part of an answer that has gone out to the callers. A later attempt at
 * the same request is compared with it, and only the rest is sent.
 */

import type { AttemptAnswerHead } from "@dandelionbank/types";

export interface SentAnswerOptions {
  /** Whether what is sent is kept, for repeats and comparison. */
  readonly keep: boolean;
  /** The target whose answer began; `undefined` if another entry knows it. */
  readonly target: string | undefined;
}

export class SentAnswer {
  readonly head: AttemptAnswerHead;
  readonly target: string | undefined;
  /** Characters of data sent. */
  characters = 0;
  readonly #parts: string[] = [];
  readonly #keep: boolean;
  #joined: string | undefined;

  constructor(head: AttemptAnswerHead, options: SentAnswerOptions) {
    this.head = head;
    this.target = options.target;
    this.#keep = options.keep;
  }

  /** What was sent, if it is kept. */
  get parts(): readonly string[] {
    return this.#parts;
  }

  /** Whether another attempt's answer can take up where this one broke off. */
  get canContinue(): boolean {
    return this.characters === 0 || this.#keep;
  }

  matchesHead(head: AttemptAnswerHead): boolean {
    return head.status === this.head.status &&
      head.contentType === this.head.contentType &&
      head.encoding === this.head.encoding;
  }

  /**
   * Takes data that begins at a character of the answer. Returns what is new
   * in it, or `undefined` if it differs from what was sent.
   */
  add(data: string, at: number): string | undefined {
    const overlap = Math.min(data.length, this.characters - at);
    if (overlap < 0) return undefined;
    if (overlap > 0 && !this.#matches(data.slice(0, overlap), at)) {
      return undefined;
    }
    const fresh = overlap === 0 ? data : data.slice(overlap);
    if (fresh === "") return fresh;
    this.characters += fresh.length;
    if (this.#keep) this.#parts.push(fresh);
    this.#joined = undefined;
    return fresh;
  }

  #matches(data: string, at: number): boolean {
    this.#joined ??= this.#parts.join("");
    return this.#joined.startsWith(data, at);
  }
}
