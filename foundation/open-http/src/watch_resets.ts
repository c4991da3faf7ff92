/**
 * Tells whether a connection is being reset at this very moment. undici takes a
 * reset for the end of an answer that has no length; such an answer is cut.
 */

import type { Socket } from "node:net";
import type { HttpConnector } from "./http_pool.ts";

export class ResetWatch {
  #isResetting = false;

  private constructor() {}

  static create(): ResetWatch {
    return new ResetWatch();
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
    // Called before undici's own listener, which is added later.
    socket.on("error", () => {
      this.#isResetting = true;
      process.nextTick(() => {
        this.#isResetting = false;
      });
    });
  }
}
