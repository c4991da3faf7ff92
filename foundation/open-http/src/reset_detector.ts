/**
 * Detects whether a connection is currently being reset. undici treats a reset
 * as the regular end of a response without a length, although such a response is
 * truncated.
 *
 * Node.js does not report a reset that arrives together with data as an error:
 * libuv reports the end of the stream. The socket then no longer has a remote
 * address, which it still has after a regular end.
 */

import type { Socket } from "node:net";
import type { HttpConnector } from "./http_pool.ts";

export class ResetDetector {
  #isResetting = false;

  private constructor() {}

  static create(): ResetDetector {
    return new ResetDetector();
  }

  /** True while the listeners of a connection that was reset are being called. */
  get isResetting(): boolean {
    return this.#isResetting;
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

  #monitorSocket(socket: Socket): void {
    // These run before undici's own listeners, which are added later.
    socket.on("error", () => this.#markReset());
    socket.on("end", () => {
      if (socket.remoteAddress === undefined) this.#markReset();
    });
  }

  #markReset(): void {
    this.#isResetting = true;
    process.nextTick(() => {
      this.#isResetting = false;
    });
  }
}
