/**
 * A pool of connections to one origin. A request reports its answer piece by
 * piece; the caller may cancel it at any time, and may pause it while its own
 * reader is slow.
 */

import type { buildConnector, Dispatcher } from "undici";
import createConnector from "undici/lib/core/connect.js";
import Pool from "undici/lib/dispatcher/pool.js";
import { ResetDetector } from "./reset_detector.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 30_000;

/** Makes connections in place of undici's own way, such as with TLS. */
export type HttpConnector = buildConnector.connector;

export interface HttpPoolOptions {
  /** Such as `http://10.0.0.1:7000`. */
  readonly origin: string;
  /** Most connections at a time; any number if left out. */
  readonly connections?: number;
  readonly connectTimeoutMs?: number;
  /** Longest idle time of a connection; less if the peer names less. */
  readonly keepAliveMs?: number;
  readonly connector?: HttpConnector;
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

export interface HttpHandler {
  onHead(head: HttpAnswerHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  /** `wasSent` is false only if it is proved that no connection was made. */
  onError(error: Error, wasSent: boolean): void;
}

export interface RequestHandle {
  cancel(): void;
  pause(): void;
  resume(): void;
}

export class HttpPool {
  readonly origin: string;
  readonly #pool: Pool;
  readonly #resets = ResetDetector.create();

  private constructor(options: HttpPoolOptions) {
    this.origin = options.origin;
    this.#pool = new Pool(options.origin, {
      connections: options.connections ?? null,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: options.keepAliveMs ?? KEEP_ALIVE_MS,
      connect: this.#resets.watch(
        options.connector ?? createConnector({
          timeout: options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS,
        }),
      ),
    });
  }

  static create(options: HttpPoolOptions): HttpPool {
    return new HttpPool(options);
  }

  /** Sends one request; exactly one of `onEnd` and `onError` follows. */
  send(request: HttpRequest, handler: HttpHandler): RequestHandle {
    const running = new RunningDispatch(handler, this.#resets);
    this.#pool.dispatch(
      {
        origin: this.origin,
        path: request.path,
        method: request.method as Dispatcher.HttpMethod,
        headers: request.headers,
        body: request.body ?? null,
      },
      running,
    );
    return running;
  }

  /** Takes no more requests, and resolves when those under way have ended. */
  async drain(): Promise<void> {
    await this.#pool.close();
  }

  /** Ends every connection; requests under way fail. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }
}

class RunningDispatch implements Dispatcher.DispatchHandler, RequestHandle {
  readonly #handler: HttpHandler;
  readonly #resets: ResetDetector;
  #controller: Dispatcher.DispatchController | undefined;
  #isCancelled = false;
  #isEnded = false;

  constructor(handler: HttpHandler, resets: ResetDetector) {
    this.#handler = handler;
    this.#resets = resets;
  }

  cancel(): void {
    this.#isCancelled = true;
    this.#controller?.abort(new Error("Cancelled"));
  }

  pause(): void {
    this.#controller?.pause();
  }

  resume(): void {
    this.#controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#isCancelled) controller.abort(new Error("Cancelled"));
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: HttpAnswerHead["headers"],
  ): void {
    if (status >= 200) this.#handler.onHead({ status, headers });
  }

  onResponseData(_: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#handler.onData(chunk);
  }

  onResponseEnd(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    if (this.#resets.isResetting) {
      this.#handler.onError(new Error("Connection was reset"), true);
      return;
    }
    this.#handler.onEnd();
  }

  onResponseError(_: Dispatcher.DispatchController, error: Error): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#handler.onError(error, wasSent(error));
  }
}

/**
 * A connection that was made may fail with the same codes as one that was not,
 * so only the failed call itself proves that nothing was sent.
 */
function wasSent(error: Error): boolean {
  const { code, syscall } = error as NodeJS.ErrnoException;
  return syscall !== "connect" && code !== "UND_ERR_CONNECT_TIMEOUT";
}
