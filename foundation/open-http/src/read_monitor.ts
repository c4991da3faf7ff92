/**
 * Monitors the bytes that a pool's connections receive. undici's parser passes
 * over some bytes without calling any handler, such as the reason phrase of a
 * status line, line ends before it, and extensions of chunks. A peer that sends
 * these without end would be read until the request times out.
 */

import type { Socket } from "node:net";
import type { HttpConnector } from "./http_pool.ts";
import type { TransferMeter } from "./transfer_meter.ts";

/** Several times the largest head that the parser accepts, which is 16 KiB. */
const MAX_UNHANDLED_BYTES = 65_536;

/**
 * Bytes that are parsed at a time. When a response is paused, the rest of them is
 * copied each time that it is resumed.
 */
const MAX_READ_BYTES = 16_384;

interface Connection {
  /** Bytes that were read since a handler was last called. */
  unhandledBytes: number;
}

export class ReadMonitor {
  readonly #meter: TransferMeter;
  /** The connection whose bytes are parsed, or were parsed last. */
  #parsed: Connection | undefined;

  private constructor(meter: TransferMeter) {
    this.#meter = meter;
  }

  static create(meter: TransferMeter): ReadMonitor {
    return new ReadMonitor(meter);
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

  /** Records that the bytes being parsed have reached a handler. */
  recordHandled(): void {
    if (this.#parsed !== undefined) this.#parsed.unhandledBytes = 0;
  }

  /** undici takes bytes by `read`, and parses them before the next `read`. */
  #monitorSocket(socket: Socket): void {
    const connection: Connection = { unhandledBytes: 0 };
    const read = socket.read.bind(socket);
    socket.read = () => {
      if (connection.unhandledBytes > MAX_UNHANDLED_BYTES) {
        socket.destroy(describeOverflow(connection));
        return null;
      }
      const size = Math.min(socket.readableLength, MAX_READ_BYTES);
      // Without any bytes, `read` notices the end of the connection.
      const bytes = (size === 0 ? read() : read(size)) as Buffer | null;
      if (bytes === null) return null;
      this.#meter.recordReceived(bytes.length);
      this.#parsed = connection;
      connection.unhandledBytes += bytes.length;
      return bytes;
    };
  }
}

function describeOverflow({ unhandledBytes }: Connection): Error {
  return new Error(
    `${unhandledBytes} bytes that are no part of an answer; the limit is ${MAX_UNHANDLED_BYTES}`,
  );
}
