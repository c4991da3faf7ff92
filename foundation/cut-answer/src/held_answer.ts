/**
 * Holds an answer of unknown length until it is complete. A caller that can't
 * read chunks, as by HTTP/1.0, would take the end of its connection for the end
 * of the answer, also if this process was killed in the middle.
 */

import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import { cutAnswer } from "./cut_answer.ts";

/** Bounds the memory of one answer; a longer one is cut before its head. */
const MAX_HELD_BYTES = 4_194_304;
const INITIAL_BYTES = 4_096;

/** Whether the end of an answer without a length would be its connection's. */
export function isEndedByConnection(response: ServerResponse): boolean {
  return !response.useChunkedEncodingByDefault;
}

export interface HeldHead {
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
}

export class HeldAnswer {
  readonly #response: ServerResponse;
  readonly #head: HeldHead;
  #body = Buffer.alloc(INITIAL_BYTES);
  #sizeBytes = 0;

  private constructor(response: ServerResponse, head: HeldHead) {
    this.#response = response;
    this.#head = head;
  }

  static create(response: ServerResponse, head: HeldHead): HeldAnswer {
    return new HeldAnswer(response, head);
  }

  write(bytes: Buffer): void {
    const sizeBytes = this.#sizeBytes + bytes.length;
    if (this.#response.destroyed) return;
    if (sizeBytes > MAX_HELD_BYTES) return cutAnswer(this.#response);
    if (sizeBytes > this.#body.length) this.#grow(sizeBytes);
    bytes.copy(this.#body, this.#sizeBytes);
    this.#sizeBytes = sizeBytes;
  }

  /** Sends the answer, with its length. */
  end(): void {
    const { status, headers } = this.#head;
    if (this.#response.destroyed) return;
    const length = String(this.#sizeBytes);
    this.#response.writeHead(status, { ...headers, "content-length": length });
    this.#response.end(this.#body.subarray(0, this.#sizeBytes));
  }

  #grow(sizeBytes: number): void {
    const body = Buffer.alloc(Math.max(sizeBytes, 2 * this.#body.length));
    this.#body.copy(body, 0, 0, this.#sizeBytes);
    this.#body = body;
  }
}
