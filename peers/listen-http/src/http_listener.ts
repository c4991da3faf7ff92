/**
 * HTTP server with optional TLS. With TLS, replaced keys and certificates apply
 * to new connections. A graceful stop accepts no new connections and waits for
 * the requests in flight.
 */

import { createError } from "@dandelionbank/error";
import type { TlsMaterial } from "@dandelionbank/load-tls";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
} from "node:http";
import { createServer as createTlsServer } from "node:https";
import { type AddressInfo, Server as NetServer } from "node:net";
import { OpenAnswers } from "./open_answers.ts";
import { PipelineQueue } from "./pipeline_queue.ts";

/** Time for slow readers to read the answers that have ended. */
const SEND_TIMEOUT_MS = 10_000;

export interface HttpListenerOptions {
  readonly host: string;
  /** 0 selects any free port. */
  readonly port: number;
  readonly listener: RequestListener;
  /** Enables TLS, which is mutual if the material includes an authority. */
  readonly tls?: TlsMaterial;
  /** Time after which an idle connection is closed. */
  readonly keepAliveTimeoutMs?: number;
  /**
   * Called with what the listener throws; the request concerned is answered
   * 500, or its connection is closed if the answer has begun. If absent, the
   * listener must not throw.
   */
  readonly onError?: (error: unknown, request: IncomingMessage) => void;
}

export class HttpListener {
  readonly #options: HttpListenerOptions;
  readonly #server: Server;
  readonly #answers: OpenAnswers;
  #isClosing = false;

  private constructor(options: HttpListenerOptions) {
    this.#options = options;
    this.#server = createHttpServer(options);
    this.#answers = OpenAnswers.create({
      onClosed: () => this.#closeIdleConnections(),
    });
    this.#server.prependListener("request", (request, response) => {
      this.#answers.add(request, response);
    });
    if (options.keepAliveTimeoutMs === undefined) return;
    this.#server.keepAliveTimeout = options.keepAliveTimeoutMs;
  }

  static create(options: HttpListenerOptions): HttpListener {
    return new HttpListener(options);
  }

  /** Resolves with the port of the listening socket. */
  async listen(): Promise<number> {
    const { host, port } = this.#options;
    try {
      this.#server.listen(port, host);
      await once(this.#server, "listening");
    } catch (cause) {
      throw createError(`Cannot listen on ${host}:${port}`, {
        code: "DANDELIONBANK_LISTEN_FAILED",
        step: "listen",
        peer: `${host}:${port}`,
        hint: "Choose another address, or end the process that listens on it",
        cause,
      });
    }
    return (this.#server.address() as AddressInfo).port;
  }

  /** Number of requests whose answer has not been sent completely. */
  get openAnswerCount(): number {
    return this.#answers.count;
  }

  /** Changes the time after which an idle connection is closed. */
  setKeepAliveTimeout(keepAliveTimeoutMs: number): void {
    this.#server.keepAliveTimeout = keepAliveTimeoutMs;
  }

  /**
   * Accepts no new connections; resolves when requests in flight have ended and
   * their answers were sent.
   */
  close(): Promise<void> {
    this.#isClosing = true;
    return new Promise((resolve) => {
      const timer = setTimeout(
        () => this.#server.closeIdleConnections(),
        SEND_TIMEOUT_MS,
      ).unref();
      // `close` of an HTTP server cuts the answers that are not sent yet.
      NetServer.prototype.close.call(this.#server, () => {
        clearTimeout(timer);
        resolve();
      });
      this.#closeIdleConnections();
    });
  }

  #closeIdleConnections(): void {
    if (!this.#isClosing || this.#answers.hasUnsent) return;
    this.#server.closeIdleConnections();
  }
}

function createHttpServer(options: HttpListenerOptions): Server {
  const { tls } = options;
  const queue = PipelineQueue.create(guardListener(options));
  const listener: RequestListener = (request, response) =>
    queue.handle(request, response);
  if (tls === undefined) return createServer(listener);
  const server = createTlsServer(tls.createServerOptions(), listener);
  tls.attachServer(server);
  return server;
}

/** Confines an error to the request whose listener throws it. */
function guardListener(
  { listener, onError }: HttpListenerOptions,
): RequestListener {
  return (request, response) => {
    try {
      listener(request, response);
    } catch (error) {
      if (onError === undefined) throw error;
      onError(error, request);
      if (response.headersSent) response.destroy();
      else response.writeHead(500, { connection: "close" }).end();
    }
  };
}
