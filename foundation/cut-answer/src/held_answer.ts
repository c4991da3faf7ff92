/**
 * Holds an answer of unknown length until it is complete. A caller that can't
 * read chunks, as by HTTP/1.0, would take the end of its connection for the end
 * of the answer, also if this process was killed in the middle.
 */

import {
  ByteBudget,
  type ByteClaim,
  ByteCollector,
} from "@dandelionbank/collect-bytes";
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import { cutAnswer } from "./cut_answer.ts";

/** A longer answer is cut before its head. */
const MAX_HELD_BYTES = 4_194_304;

/** Whether the end of an answer without a length would be its connection's. */
export function isEndedByConnection(response: ServerResponse): boolean {
  return !response.useChunkedEncodingByDefault;
}

export interface HeldHead {
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  /** Memory shared by all answers; unlimited if absent. */
  readonly memory?: ByteBudget;
}

export class HeldAnswer {
  readonly #response: ServerResponse;
  readonly #head: HeldHead;
  readonly #body = ByteCollector.create();
  readonly #claim: ByteClaim;

  private constructor(response: ServerResponse, head: HeldHead) {
    this.#response = response;
    this.#head = head;
    this.#claim = (head.memory ?? ByteBudget.create()).createClaim();
    response.once("close", () => this.#claim.release());
  }

  static create(response: ServerResponse, head: HeldHead): HeldAnswer {
    return new HeldAnswer(response, head);
  }

  write(bytes: Buffer): void {
    if (this.#response.destroyed) return;
    this.#body.add(bytes);
    const isKept = this.#body.lengthBytes <= MAX_HELD_BYTES &&
      this.#claim.resize(this.#body.capacityBytes);
    if (isKept) return;
    this.#body.clear();
    cutAnswer(this.#response);
  }

  /** Sends the answer, with its length. */
  end(): void {
    const { status, headers } = this.#head;
    if (this.#response.destroyed) return;
    const length = String(this.#body.lengthBytes);
    this.#response.writeHead(status, { ...headers, "content-length": length });
    this.#response.end(this.#body.take());
  }
}
