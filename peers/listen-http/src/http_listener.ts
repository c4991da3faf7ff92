/**
 * Owns one listening server. With TLS, it follows keys that are replaced. A
 * graceful stop takes no new connections and waits for those in use.
 */

import { createError } from "@dandelionbank/error";
import type { TlsMaterial } from "@dandelionbank/load-tls";
import { once } from "node:events";
import { createServer, type RequestListener, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { AddressInfo } from "node:net";

export interface HttpListenerOptions {
  readonly host: string;
  /** 0 takes any free port. */
  readonly port: number;
  readonly listener: RequestListener;
  /** Makes TLS mutual if it holds an authority. */
  readonly tls?: TlsMaterial;
  /** How long an idle connection is kept for its next request. */
  readonly keepAliveTimeoutMs?: number;
}

export class HttpListener {
  readonly #options: HttpListenerOptions;
  readonly #server: Server;

  private constructor(options: HttpListenerOptions) {
    this.#options = options;
    this.#server = createListeningServer(options);
    if (options.keepAliveTimeoutMs === undefined) return;
    this.#server.keepAliveTimeout = options.keepAliveTimeoutMs;
  }

  static create(options: HttpListenerOptions): HttpListener {
    return new HttpListener(options);
  }

  /** Resolves with the port that it listens on. */
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
        hint: "Choose another address, or end the process that holds it",
        cause,
      });
    }
    return (this.#server.address() as AddressInfo).port;
  }

  /** Changes how long an idle connection is kept for its next request. */
  setKeepAliveTimeout(keepAliveTimeoutMs: number): void {
    this.#server.keepAliveTimeout = keepAliveTimeoutMs;
  }

  /** Resolves when every request under way has ended. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
  }
}

function createListeningServer(options: HttpListenerOptions): Server {
  const { listener, tls } = options;
  if (tls === undefined) return createServer(listener);
  const server = createTlsServer(tls.createServerOptions(), listener);
  tls.attachServer(server);
  return server;
}
