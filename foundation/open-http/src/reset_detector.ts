/**
 * Tells whether a connection is being reset at this very moment. undici takes a
 * reset for the end of an answer that has no length; such an answer is cut.
 *
 * A reset that comes together with bytes is no error in Node.js: libuv tells it
 * as the end of the stream. Then the socket has no peer any more, which it
 * still has after an end that the peer meant.
 */

import type { Socket } from "node:net";
import type { HttpConnector } from "./http_pool.ts";

export class ResetDetector {
  #isResetting = false;

  private constructor() {}

  static create(): ResetDetector {
    return new ResetDetector();
  }

  /** True while listeners of a connection's reset are being called. */
  get isResetting(): boolean {
    return this.#isResetting;
  }

  /** Connects as `connector` does, and watches each connection. */
  watch(connector: HttpConnector): HttpConnector {
    return (options, callback) => {
      const watched: typeof callback = (...result) => {
        const [error, socket] = result;
        if (error === null) this.#watchSocket(socket);
        callback(...result);
      };
      return connector(options, watched);
    };
  }

  #watchSocket(socket: Socket): void {
    // Called before undici's own listeners, which are added later.
    socket.on("error", () => this.#noteReset());
    socket.on("end", () => {
      if (socket.remoteAddress === undefined) this.#noteReset();
    });
  }

  #noteReset(): void {
    this.#isResetting = true;
    process.nextTick(() => {
      this.#isResetting = false;
    });
  }
}
