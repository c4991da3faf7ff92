/** Gathers one answer up to a limit. */

import type { HttpAnswerHead } from "@dandelionbank/open-http";

/** Longest answer that is read. */
const ANSWER_LIMIT_BYTES = 64 * 1024 * 1024;

export interface CallAnswer {
  readonly status: number;
  readonly headers: HttpAnswerHead["headers"];
  readonly text: string;
}

export class AnswerBuffer {
  readonly #chunks: Buffer[] = [];
  #head: HttpAnswerHead = { status: 0, headers: {} };
  #lengthBytes = 0;

  begin(head: HttpAnswerHead): void {
    this.#head = head;
  }

  /** Says whether the answer is within its limit. */
  add(chunk: Buffer): boolean {
    this.#lengthBytes += chunk.length;
    if (this.#lengthBytes > ANSWER_LIMIT_BYTES) return false;
    this.#chunks.push(chunk);
    return true;
  }

  finish(): CallAnswer {
    const { status, headers } = this.#head;
    const text = Buffer.concat(this.#chunks).toString("utf8");
    return { status, headers, text };
  }
}
