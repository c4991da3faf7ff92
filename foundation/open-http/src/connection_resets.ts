/**
 * Resets of a pool's connections, in both directions.
 *
 * Detection: undici treats a reset as the regular end of a response without a
 * length, although such a response is truncated. Node.js does not report a reset
 * that arrives together with data as an error: libuv reports the end of the
 * stream. The socket then no longer has a remote address, which it still has
 * after a regular end.
 *
 * Cancellation: undici cancels a request by closing its connection. A regular
 * close still delivers the bytes before it, so a request that is held up on its
 * way to a frozen or unreachable VM would arrive long after it was cancelled. A
 * reset drops them.
 */

import type { Socket } from "node:net";
import type { HttpConnector } from "./http_pool.ts";

/** Node.js resets the connection of a socket with this flag on `destroy`. */
interface ResettableSocket extends Socket {
  resetAndClosing?: boolean;
  readonly encrypted?: boolean;
}

export class ConnectionResets {
  #isPeerResetting = false;
  #isCancelling = false;

  private constructor() {}

  static create(): ConnectionResets {
    return new ConnectionResets();
  }

  /** True while the listeners of a connection that was reset are being called. */
  get isPeerResetting(): boolean {
    return this.#isPeerResetting;
  }

  /** Returns a connector that connects as `connector` and monitors each socket. */
  wrapConnector(connector: HttpConnector): HttpConnector {
    return (options, callback) => {
      const monitored: typeof callback = (...result) => {
        const [error, socket] = result;
        if (error === null) this.#monitorSocket(socket);
        callback(...result);
      };
      return connector(options, monitored);
    };
  }

  /** Resets the connections that `cancel` destroys, instead of closing them. */
  resetWhile(cancel: () => void): void {
    this.#isCancelling = true;
    try {
      cancel();
    } finally {
      this.#isCancelling = false;
    }
  }

  #monitorSocket(socket: ResettableSocket): void {
    // These run before undici's own listeners, which are added later.
    socket.on("error", () => this.#markPeerReset());
    socket.on("end", () => {
      if (socket.remoteAddress === undefined) this.#markPeerReset();
    });
    const destroy = socket.destroy.bind(socket);
    socket.destroy = (error) => {
      // `resetAndDestroy` would first wait until pending writes are sent. TLS
      // sockets cannot be reset.
      if (this.#isCancelling && socket.encrypted !== true) {
        socket.resetAndClosing = true;
      }
      return destroy(error);
    };
  }

  #markPeerReset(): void {
    this.#isPeerResetting = true;
    process.nextTick(() => {
      this.#isPeerResetting = false;
    });
  }
}
