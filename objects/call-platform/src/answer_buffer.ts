/** Buffers the body of one answer, up to a limit. */

import type { HttpAnswerHead } from "@dandelionbank/open-http";

const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

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

  /** Returns false if the answer has exceeded the limit. */
  add(chunk: Buffer): boolean {
    this.#lengthBytes += chunk.length;
    if (this.#lengthBytes > MAX_ANSWER_BYTES) return false;
    this.#chunks.push(chunk);
    return true;
  }

  finish(): CallAnswer {
    const { status, headers } = this.#head;
    const text = Buffer.concat(this.#chunks).toString("utf8");
    return { status, headers, text };
  }
}
