/** Sends one caller its response: the target's answer, or the request's outcome. */

import {
  cutAnswer,
  HeldAnswer,
  isEndedByConnection,
} from "@dandelionbank/cut-answer";
import { describeOutcome } from "@dandelionbank/describe-outcome";
import type { Outcome } from "@dandelionbank/types";
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import process from "node:process";

export interface AnswerStartOptions {
  readonly status: number;
  readonly contentType: string;
  readonly target: string;
  /** Known only if the complete answer is available. */
  readonly lengthBytes?: number;
}

/** Response to one caller's request. */
export interface CallerAnswer {
  readonly isStarted: boolean;
  start(options: AnswerStartOptions): void;
  /** Returns false while the caller reads more slowly than the answer arrives. */
  write(chunk: string | Buffer): boolean;
  end(): void;
  /** Ends the response with the request's outcome, even if the answer has begun. */
  sendOutcome(outcome: Exclude<Outcome, { readonly kind: "answered" }>): void;
  onDrained(listener: () => void): void;
  /** Registers a listener for a caller that disconnects before its answer is complete. */
  onAbandoned(listener: () => void): void;
}

export class HttpCallerAnswer implements CallerAnswer {
  readonly #response: ServerResponse;
  readonly #requestId: string;
  readonly #entry: string;
  #held: HeldAnswer | undefined;
  #isEventStream = false;
  #hasWritten = false;

  private constructor(
    response: ServerResponse,
    options: { readonly requestId: string; readonly entry: string },
  ) {
    this.#response = response;
    this.#requestId = options.requestId;
    this.#entry = options.entry;
  }

  static create(
    response: ServerResponse,
    options: { readonly requestId: string; readonly entry: string },
  ): HttpCallerAnswer {
    return new HttpCallerAnswer(response, options);
  }

  get isStarted(): boolean {
    return this.#held !== undefined || this.#response.headersSent;
  }

  start(options: AnswerStartOptions): void {
    this.#isEventStream = options.contentType.startsWith("text/event-stream");
    const headers = {
      ...this.#ownHeaders(),
      ...(options.target === ""
        ? {}
        : { "dandelionbank-target": options.target }),
      "content-type": options.contentType,
      ...(options.lengthBytes === undefined
        ? {}
        : { "content-length": String(options.lengthBytes) }),
    };
    const { status, lengthBytes } = options;
    if (lengthBytes === undefined && isEndedByConnection(this.#response)) {
      this.#held = HeldAnswer.create(this.#response, { status, headers });
      return;
    }
    this.#response.writeHead(status, headers);
    if (this.#isEventStream) process.nextTick(() => this.#flushHead());
  }

  write(chunk: string | Buffer): boolean {
    if (this.#held !== undefined) {
      this.#held.write(Buffer.from(chunk));
      return true;
    }
    this.#hasWritten = true;
    return this.#response.write(chunk);
  }

  end(): void {
    if (this.#held !== undefined) return this.#held.end();
    this.#hasWritten = true;
    this.#response.end();
  }

  sendOutcome(outcome: Exclude<Outcome, { readonly kind: "answered" }>): void {
    const described = describeOutcome(outcome, this.#requestId);
    const body = JSON.stringify(described.body);
    if (!this.isStarted) {
      this.#response.writeHead(described.status, {
        ...this.#ownHeaders(),
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(body)),
        ...(described.retryAfterSeconds === undefined
          ? {}
          : { "retry-after": String(described.retryAfterSeconds) }),
      });
      this.#response.end(body);
      return;
    }
    if (this.#isEventStream) {
      const event = `event: error\ndata: ${body}\n\n`;
      if (this.#held !== undefined) {
        this.#held.write(Buffer.from(event));
        return this.#held.end();
      }
      this.#hasWritten = true;
      this.#response.end(event);
      return;
    }
    cutAnswer(this.#response);
  }

  onDrained(listener: () => void): void {
    this.#response.on("drain", listener);
  }

  onAbandoned(listener: () => void): void {
    this.#response.once("close", () => {
      if (!this.#response.writableEnded) listener();
    });
  }

  /** Skips the flush if data was written, since that sends the head too. */
  #flushHead(): void {
    if (!this.#hasWritten) this.#response.flushHeaders();
  }

  #ownHeaders(): OutgoingHttpHeaders {
    return {
      "dandelionbank-request-id": this.#requestId,
      "dandelionbank-entry": this.#entry,
    };
  }
}
