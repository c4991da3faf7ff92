/**
 * Writes the answer to one request to its caller, either in one piece or as a
 * stream. A stream that is cut short closes its connection, so that the caller
 * cannot mistake it for a complete one. Where only the end of the connection
 * could mark the end of a stream, it is sent in one piece as well.
 */

import {
  type ByteBudget,
  type ByteClaim,
  ByteCollector,
} from "@dandelionbank/collect-bytes";
import {
  cutAnswer,
  HeldAnswer,
  isEndedByConnection,
} from "@dandelionbank/cut-answer";
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import process from "node:process";

export interface FinalAnswer {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string | readonly string[]>>;
  readonly body?: Buffer;
}

const MS_PER_S = 1_000;
/**
 * Smaller pieces are merged before they are written, since each write that waits
 * for the caller costs several objects.
 */
const SMALL_WRITE_BYTES = 1_024;
const MAX_MERGED_BYTES = 16_384;

export interface CallerAnswerOptions {
  /** If this holds when the answer begins, it closes the connection. */
  readonly isLast: () => boolean;
  /** Memory shared by all answers. */
  readonly memory: ByteBudget;
}

export class CallerAnswer {
  readonly #response: ServerResponse;
  readonly #isLast: () => boolean;
  readonly #memory: ByteBudget;
  readonly #claim: ByteClaim;
  /** Small pieces of this turn of the event loop, to be written as one. */
  readonly #merged = ByteCollector.create();
  #firstByteAtMs: number | undefined;
  #held: HeldAnswer | undefined;
  /** Set while the caller reads too slowly. */
  #drainListener: (() => void) | undefined;

  private constructor(
    response: ServerResponse,
    { isLast, memory }: CallerAnswerOptions,
  ) {
    this.#response = response;
    this.#isLast = isLast;
    this.#memory = memory;
    this.#claim = memory.createClaim();
    response.once("close", () => this.#claim.release());
  }

  static create(
    response: ServerResponse,
    options: CallerAnswerOptions,
  ): CallerAnswer {
    return new CallerAnswer(response, options);
  }

  get hasBegun(): boolean {
    return this.#held !== undefined || this.#response.headersSent;
  }

  get firstByteAtMs(): number | undefined {
    return this.#firstByteAtMs;
  }

  /** Sends the complete answer. */
  sendFinal({ status, headers = {}, body }: FinalAnswer): void {
    if (this.hasBegun || this.#response.destroyed) return;
    this.#recordFirstByte();
    const length = body === undefined ? 0 : body.length;
    this.#writeHead(status, { ...headers, "content-length": String(length) });
    this.#response.end(body);
  }

  /**
   * Answers 503 with `retry-after`: the request has not run and may be
   * retried.
   */
  refuse(retryAfterMs: number): void {
    const retryAfterS = (Math.max(0, retryAfterMs) / MS_PER_S).toFixed(2);
    this.sendFinal({ status: 503, headers: { "retry-after": retryAfterS } });
  }

  startStream(
    status: number,
    headers: Readonly<Record<string, string | readonly string[]>>,
  ): void {
    if (this.hasBegun || this.#response.destroyed) return;
    const hasLength = headers["content-length"] !== undefined;
    if (!hasLength && isEndedByConnection(this.#response)) {
      this.#held = HeldAnswer.create(this.#response, {
        status,
        headers: headers as OutgoingHttpHeaders,
        memory: this.#memory,
      });
      return;
    }
    this.#writeHead(status, headers);
    this.#response.flushHeaders();
  }

  /**
   * Claims memory for bytes that are kept for this answer, in addition to those
   * that its caller has not read yet. Returns false if there is no room.
   */
  claimMemory(keptBytes: number): boolean {
    return this.#claim.resize(keptBytes + this.#response.writableLength);
  }

  /** Returns false while the caller reads more slowly than bytes arrive. */
  write(bytes: Buffer): boolean {
    if (this.#held !== undefined) {
      this.#held.write(bytes);
      return true;
    }
    this.#recordFirstByte();
    const isMerged = bytes.length < SMALL_WRITE_BYTES &&
      this.#merged.lengthBytes < MAX_MERGED_BYTES;
    if (isMerged) {
      if (this.#merged.lengthBytes === 0) {
        process.nextTick(() => this.#flushMerged());
      }
      this.#merged.add(bytes);
    } else {
      this.#flushMerged();
      this.#response.write(bytes);
    }
    return !this.#response.writableNeedDrain;
  }

  end(): void {
    if (this.#held === undefined) {
      this.#flushMerged();
      this.#response.end();
      return;
    }
    this.#recordFirstByte();
    this.#held.end();
  }

  /** Ends the answer in the middle, after the bytes written so far. */
  cut(): void {
    this.#flushMerged();
    cutAnswer(this.#response);
  }

  /** Replaces the listener that waits, if one does. */
  onceDrained(listener: () => void): void {
    const isWaiting = this.#drainListener !== undefined;
    this.#drainListener = listener;
    if (isWaiting) return;
    this.#response.once("drain", () => {
      const waiting = this.#drainListener;
      this.#drainListener = undefined;
      waiting?.();
    });
  }

  #writeHead(
    status: number,
    headers: Readonly<Record<string, string | readonly string[]>>,
  ): void {
    if (this.#isLast()) this.#response.shouldKeepAlive = false;
    this.#response.writeHead(
      status,
      headers as Record<string, string | string[]>,
    );
  }

  #flushMerged(): void {
    if (this.#merged.lengthBytes === 0) return;
    const bytes = this.#merged.take();
    if (!this.#response.destroyed) this.#response.write(bytes);
  }

  #recordFirstByte(): void {
    this.#firstByteAtMs ??= performance.now();
  }
}
