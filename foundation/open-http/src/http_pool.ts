/**
 * A pool of HTTP connections to one origin. Responses are streamed to a handler;
 * the caller can cancel a request at any time, and pause it to apply back
 * pressure.
 */

import type { buildConnector, Dispatcher } from "undici";
import createConnector from "undici/lib/core/connect.js";
import type { Socket } from "node:net";
import Pool from "undici/lib/dispatcher/pool.js";
import { ConnectionReads } from "./connection_reads.ts";
import { ConnectionResets } from "./connection_resets.ts";
import {
  type PieceAllowance,
  PieceThrottle,
  type ThrottledResponse,
} from "./piece_throttle.ts";
import { TransferMeter } from "./transfer_meter.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 30_000;
/** A peer that sends more interim heads (1xx) than this sends no answer. */
const MAX_INTERIM_HEAD_BYTES = 65_536;
/** Answers with these statuses never have a body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
/** The parser takes any three digits for a status. */
const LOWEST_STATUS = 100;
/** A status line, where it isn't the first line of its head. */
const STATUS_LINE = /HTTP\/\d\.\d \d{3}(?: |$)/;
/** Status line and line ends of a head, about. */
const HEAD_OVERHEAD_BYTES = 32;

/** Replaces undici's own way of connecting, for example to use TLS. */
export type HttpConnector = buildConnector.connector;

export interface HttpPoolOptions {
  /** For example `http://10.0.0.1:7000`. */
  readonly origin: string;
  /** Largest number of open connections; unlimited if absent. */
  readonly connections?: number;
  readonly connectTimeoutMs?: number;
  /** Longest idle time of a connection, unless the peer announces a shorter one. */
  readonly keepAliveMs?: number;
  readonly connector?: HttpConnector;
  /** Counts what this pool receives; several pools may share one. */
  readonly meter?: TransferMeter;
  /** Limits small pieces; pools that share a processor may share one. */
  readonly throttle?: PieceThrottle;
}

export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
}

export interface HttpAnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/**
 * What marks the end of a body: its length, its last chunk, or only the end of
 * its connection, which a sender that broke off may cause as well.
 */
export type BodyFraming = "length" | "chunked" | "connection";

export function readBodyFraming(
  headers: Readonly<Record<string, unknown>>,
): BodyFraming {
  if (headers["transfer-encoding"] !== undefined) return "chunked";
  return headers["content-length"] === undefined ? "connection" : "length";
}

/**
 * Whether an answer whose body turned out empty may have broken off behind its
 * head: only the end of its connection marked the end of a body.
 */
export function mayLackBody(
  { status, headers }: {
    readonly status: number;
    readonly headers: Readonly<Record<string, unknown>>;
  },
  method: string,
): boolean {
  return readBodyFraming(headers) === "connection" && method !== "HEAD" &&
    !BODILESS_STATUSES.has(status);
}

export interface HttpHandler {
  onHead(head: HttpAnswerHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  /** `wasSent` is false only if it is certain that no connection was established. */
  onError(error: Error, wasSent: boolean): void;
}

export interface RequestHandle {
  /** Resets the connection, so that bytes still in flight are not delivered. */
  cancel(): void;
  /** Reads no more from the connection; bytes already read are still delivered. */
  pause(): void;
  resume(): void;
}

export class HttpPool {
  readonly origin: string;
  readonly #pool: Pool;
  readonly #resets = ConnectionResets.create();
  readonly #meter: TransferMeter;
  readonly #reads: ConnectionReads;
  readonly #throttle: PieceThrottle;

  private constructor(options: HttpPoolOptions) {
    this.origin = options.origin;
    this.#meter = options.meter ?? TransferMeter.create();
    this.#reads = ConnectionReads.create(this.#meter);
    this.#throttle = options.throttle ?? PieceThrottle.create();
    const connector = options.connector ?? createConnector({
      timeout: options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS,
    });
    this.#pool = new Pool(options.origin, {
      connections: options.connections ?? null,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: options.keepAliveMs ?? KEEP_ALIVE_MS,
      connect: this.#reads.wrapConnector(
        this.#resets.wrapConnector(connector),
      ),
    });
  }

  static create(options: HttpPoolOptions): HttpPool {
    return new HttpPool(options);
  }

  /** Sends a request. Exactly one of `onEnd` and `onError` is called for it. */
  send(request: HttpRequest, handler: HttpHandler): RequestHandle {
    const dispatch = new RequestDispatch(handler, {
      resets: this.#resets,
      meter: this.#meter,
      reads: this.#reads,
      throttle: this.#throttle,
    });
    this.#pool.dispatch(
      {
        origin: this.origin,
        path: request.path,
        method: request.method as Dispatcher.HttpMethod,
        headers: request.headers,
        body: request.body ?? null,
      },
      dispatch,
    );
    return dispatch;
  }

  /** Accepts no more requests, and resolves when those in flight have ended. */
  async drain(): Promise<void> {
    await this.#pool.close();
  }

  /** Closes all connections; requests in flight fail. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }
}

class RequestDispatch
  implements Dispatcher.DispatchHandler, RequestHandle, ThrottledResponse {
  readonly #handler: HttpHandler;
  readonly #resets: ConnectionResets;
  readonly #meter: TransferMeter;
  readonly #reads: ConnectionReads;
  readonly #allowance: PieceAllowance;
  #controller: Dispatcher.DispatchController | undefined;
  /** The connection from which the response is read. */
  #socket: Socket | undefined;
  #interimHeadBytes = 0;
  #isCancelled = false;
  #isEnded = false;
  /** Whether the handler, or the throttle, wants no further pieces now. */
  #isPaused = false;
  #isHeld = false;

  constructor(
    handler: HttpHandler,
    { resets, meter, reads, throttle }: {
      readonly resets: ConnectionResets;
      readonly meter: TransferMeter;
      readonly reads: ConnectionReads;
      readonly throttle: PieceThrottle;
    },
  ) {
    this.#handler = handler;
    this.#resets = resets;
    this.#meter = meter;
    this.#reads = reads;
    this.#allowance = throttle.createAllowance(this);
  }

  cancel(): void {
    this.#isCancelled = true;
    this.#abort(new Error("Cancelled"));
  }

  pause(): void {
    this.#isPaused = true;
    this.#updateReading();
  }

  resume(): void {
    this.#isPaused = false;
    this.#updateReading();
  }

  hold(): void {
    this.#isHeld = true;
    this.#updateReading();
  }

  release(): void {
    this.#isHeld = false;
    this.#updateReading();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#isCancelled) controller.abort(new Error("Cancelled"));
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: HttpAnswerHead["headers"],
    statusText = "",
  ): void {
    this.#reads.recordHandled();
    this.#socket = this.#reads.latest;
    const defect = status < LOWEST_STATUS
      ? `Answer with the invalid status ${String(status).padStart(3, "0")}`
      : findHeadDefect(headers, statusText);
    if (defect !== undefined) return this.#abort(new Error(defect));
    if (status >= 200) return this.#handler.onHead({ status, headers });
    this.#interimHeadBytes += HEAD_OVERHEAD_BYTES + countHeaderBytes(headers);
    if (this.#interimHeadBytes <= MAX_INTERIM_HEAD_BYTES) return;
    this.#abort(
      new Error(
        `Interim heads of ${this.#interimHeadBytes} bytes; the limit is ${MAX_INTERIM_HEAD_BYTES}`,
      ),
    );
  }

  onResponseData(_: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#reads.recordHandled();
    this.#meter.recordBodyPiece(chunk.length);
    this.#handler.onData(chunk);
    if (!this.#isEnded) this.#allowance.recordPiece(chunk.length);
  }

  onResponseEnd(): void {
    const socket = this.#socket;
    this.#releaseSocket();
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#reads.recordHandled();
    if (socket !== undefined) this.#reads.recordEnd(socket);
    if (this.#resets.isPeerResetting) {
      this.#handler.onError(new Error("Connection was reset"), true);
      return;
    }
    this.#handler.onEnd();
  }

  onResponseError(_: Dispatcher.DispatchController, error: Error): void {
    this.#releaseSocket();
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#handler.onError(error, wasSent(error));
  }

  /** The connection may serve the next request from now on. */
  #releaseSocket(): void {
    this.#allowance.end();
    this.#isHeld = false;
    this.#isPaused = false;
    this.#updateReading();
    this.#socket = undefined;
  }

  #updateReading(): void {
    if (this.#socket === undefined) return;
    if (this.#isPaused || this.#isHeld) this.#reads.pause(this.#socket);
    else this.#reads.resume(this.#socket);
  }

  /** Resets the connection; `onResponseError` is called with the reason. */
  #abort(reason: Error): void {
    this.#resets.resetWhile(() => this.#controller?.abort(reason));
  }
}

/** Returns why a head is no answer's, or why its body can't be read, if so. */
function findHeadDefect(
  headers: HttpAnswerHead["headers"],
  statusText: string,
): string | undefined {
  if (isMerged(headers, statusText)) {
    return "Head of an answer that was cut by another one";
  }
  // undici takes the bytes of any other coding for those of the body.
  const coding = headers["transfer-encoding"];
  const isReadable = coding === undefined ||
    String(coding).trim().toLowerCase() === "chunked";
  return isReadable ? undefined : "Answer with an unknown transfer coding";
}

/**
 * Whether a head begins with a part of another one, such as of a late second
 * answer that breaks off in its first line or in a field. The status may then be
 * the other answer's, while the fields are those of the request's own.
 */
function isMerged(
  headers: HttpAnswerHead["headers"],
  statusText: string,
): boolean {
  return [statusText, ...Object.values(headers).flat()]
    .some((text) => text !== undefined && STATUS_LINE.test(text));
}

function countHeaderBytes(headers: HttpAnswerHead["headers"]): number {
  return Object.entries(headers).flat(2).join("").length;
}

/**
 * Whether the request may have been sent. An established connection can fail
 * with the same codes as an attempt to connect, so only a failed `connect` call
 * or undici's connect timeout proves that nothing was sent.
 */
function wasSent(error: Error): boolean {
  const { code, syscall } = error as NodeJS.ErrnoException;
  return syscall !== "connect" && code !== "UND_ERR_CONNECT_TIMEOUT";
}
