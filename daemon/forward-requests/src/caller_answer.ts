/**
 * Writes the answer of one request to its caller. A final answer goes out
 * whole; a stream goes out event by event, and one that is cut ends its
 * connection, so that it does not look whole.
 */

import type { ServerResponse } from "node:http";

export interface FinalAnswer {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string | readonly string[]>>;
  readonly body?: Buffer;
}

const MS_PER_S = 1_000;

export class CallerAnswer {
  readonly #response: ServerResponse;
  readonly #isLeaving: () => boolean;
  #firstByteAtMs: number | undefined;

  private constructor(response: ServerResponse, isLeaving: () => boolean) {
    this.#response = response;
    this.#isLeaving = isLeaving;
  }

  /** `isLeaving` says whether callers should connect elsewhere next time. */
  static create(
    response: ServerResponse,
    isLeaving: () => boolean,
  ): CallerAnswer {
    return new CallerAnswer(response, isLeaving);
  }

  get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  get firstByteAtMs(): number | undefined {
    return this.#firstByteAtMs;
  }

  /** A whole answer. */
  sendWhole({ status, headers = {}, body }: FinalAnswer): void {
    if (this.hasBegun || this.#response.destroyed) return;
    this.#noteFirst();
    const length = body === undefined ? 0 : body.length;
    this.#writeHead(status, { ...headers, "content-length": String(length) });
    this.#response.end(body);
  }

  /** Says that the request has not run and when to come back. */
  refuse(retryAfterMs: number): void {
    const seconds = (Math.max(0, retryAfterMs) / MS_PER_S).toFixed(2);
    this.sendWhole({ status: 503, headers: { "retry-after": seconds } });
  }

  startStream(
    status: number,
    headers: Readonly<Record<string, string | readonly string[]>>,
  ): void {
    if (this.hasBegun || this.#response.destroyed) return;
    this.#writeHead(status, headers);
    this.#response.flushHeaders();
  }

  /** False while the caller reads more slowly than bytes come. */
  write(bytes: Buffer): boolean {
    this.#noteFirst();
    return this.#response.write(bytes);
  }

  end(): void {
    this.#response.end();
  }

  /** Breaks an answer off that has begun. */
  cut(): void {
    this.#response.destroy();
  }

  onceDrained(listener: () => void): void {
    this.#response.once("drain", listener);
  }

  #writeHead(
    status: number,
    headers: Readonly<Record<string, string | readonly string[]>>,
  ): void {
    if (this.#isLeaving()) this.#response.shouldKeepAlive = false;
    this.#response.writeHead(
      status,
      headers as Record<string, string | string[]>,
    );
  }

  #noteFirst(): void {
    this.#firstByteAtMs ??= performance.now();
  }
}
