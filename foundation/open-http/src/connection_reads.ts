/**
 * Pauses of a pool's connections. undici pauses a response by stopping its
 * parser. If the connection then ends, and was not to be kept, undici throws an
 * assertion error outside any call, which ends the process. Here the socket
 * returns no bytes instead, so that its end waits behind them as well.
 */

import type { Socket } from "node:net";
import type { HttpConnector } from "./http_pool.ts";

export class ConnectionReads {
  readonly #paused = new WeakSet<Socket>();
  #latest: Socket | undefined;

  private constructor() {}

  static create(): ConnectionReads {
    return new ConnectionReads();
  }

  /** The socket whose bytes are being parsed, while undici calls a handler. */
  get latest(): Socket | undefined {
    return this.#latest;
  }

  /** Returns a connector that connects as `connector`, with sockets to pause. */
  wrapConnector(connector: HttpConnector): HttpConnector {
    return (options, callback) => {
      const wrapped: typeof callback = (...result) => {
        const [error, socket] = result;
        if (error === null) this.#wrapRead(socket);
        callback(...result);
      };
      return connector(options, wrapped);
    };
  }

  pause(socket: Socket): void {
    this.#paused.add(socket);
  }

  resume(socket: Socket): void {
    if (!this.#paused.delete(socket)) return;
    // undici reads when told so, and must not be told while it parses.
    process.nextTick(() => {
      if (!socket.destroyed) socket.emit("readable");
    });
  }

  #wrapRead(socket: Socket): void {
    const read = socket.read.bind(socket);
    socket.read = (size?: number) => {
      // Node.js itself calls `read(0)`, which returns nothing, to fill its buffer.
      if (size !== 0 && this.#paused.has(socket)) return null;
      const bytes: unknown = read(size);
      if (bytes !== null) this.#latest = socket;
      return bytes;
    };
  }
}
