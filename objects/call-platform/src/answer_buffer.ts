/** Buffers the body of one answer, up to a limit. */

import { ByteCollector } from "@dandelionbank/collect-bytes";
import type { HttpAnswerHead } from "@dandelionbank/open-http";

const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

export interface CallAnswer {
  readonly status: number;
  readonly headers: HttpAnswerHead["headers"];
  readonly text: string;
}

export class AnswerBuffer {
  readonly #body = ByteCollector.create();
  #head: HttpAnswerHead = { status: 0, headers: {} };

  begin(head: HttpAnswerHead): void {
    this.#head = head;
  }

  /** Returns false if the answer has exceeded the limit. */
  add(chunk: Buffer): boolean {
    if (this.#body.lengthBytes + chunk.length > MAX_ANSWER_BYTES) return false;
    this.#body.add(chunk);
    return true;
  }

  finish(): CallAnswer {
    const { status, headers } = this.#head;
    const text = this.#body.take().toString("utf8");
    return { status, headers, text };
  }
}
