/**
 * Reads of a pool's connections, in place of those that undici would make.
 *
 * Pauses: undici pauses a response by stopping its parser. If the connection then
 * ends, and was not to be kept, undici throws an assertion error outside any
 * call, which ends the process. Here the socket returns no bytes instead, so that
 * its end waits behind them as well.
 *
 * Bounds: undici's parser passes over some bytes without calling any handler,
 * such as the reason phrase of a status line, line ends before it, and extensions
 * of chunks. A peer that sends these without end would be read until the request
 * times out.
 */

import type { Socket } from "node:net";
import type { HttpConnector } from "./http_pool.ts";
import type { TransferMeter } from "./transfer_meter.ts";

/** Several times the largest head that the parser accepts, which is 16 KiB. */
const MAX_UNHANDLED_BYTES = 65_536;
/** Bytes that are parsed at a time: a pause takes effect after them. */
const MAX_READ_BYTES = 16_384;
/**
 * The same, while no handler is called. Beyond the largest head, undici creates an
 * error for each field that is left to be parsed.
 */
const MAX_UNHANDLED_READ_BYTES = 1_024;

interface Connection {
  isPaused: boolean;
  /** Bytes that were read since a handler was last called. */
  unhandledBytes: number;
}

export class ConnectionReads {
  readonly #meter: TransferMeter;
  readonly #connections = new WeakMap<Socket, Connection>();
  #latest: Socket | undefined;

  private constructor(meter: TransferMeter) {
    this.#meter = meter;
  }

  static create(meter: TransferMeter): ConnectionReads {
    return new ConnectionReads(meter);
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

  /** Records that the bytes being parsed have reached a handler. */
  recordHandled(): void {
    if (this.#latest === undefined) return;
    const connection = this.#connections.get(this.#latest);
    if (connection !== undefined) connection.unhandledBytes = 0;
  }

  pause(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection !== undefined) connection.isPaused = true;
  }

  resume(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined || !connection.isPaused) return;
    connection.isPaused = false;
    // undici reads when told so, and must not be told while it parses.
    process.nextTick(() => {
      if (!socket.destroyed) socket.emit("readable");
    });
  }

  #wrapRead(socket: Socket): void {
    const connection: Connection = { isPaused: false, unhandledBytes: 0 };
    this.#connections.set(socket, connection);
    const read = socket.read.bind(socket);
    socket.read = (size?: number) => {
      // Node.js itself calls `read(0)`, which returns nothing, to fill its buffer.
      if (size === 0) return read(0);
      // undici would go on to parse what a connection that it has closed still holds.
      if (connection.isPaused || socket.destroyed) return null;
      if (connection.unhandledBytes > MAX_UNHANDLED_BYTES) {
        socket.destroy(describeOverflow(connection));
        return null;
      }
      const limitBytes = connection.unhandledBytes === 0
        ? MAX_READ_BYTES
        : MAX_UNHANDLED_READ_BYTES;
      const sizeBytes = Math.min(socket.readableLength, limitBytes);
      // Without any bytes, `read` notices the end of the connection.
      const bytes: Buffer | null = sizeBytes === 0 ? read() : read(sizeBytes);
      if (bytes === null) return null;
      this.#latest = socket;
      this.#meter.recordReceived(bytes.length);
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
