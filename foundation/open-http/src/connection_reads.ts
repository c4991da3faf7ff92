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

/**
 * The largest head that the parser accepts has 16 KiB of names and values. What
 * stands between them is less than half of that, and each field costs objects.
 */
const MAX_UNHANDLED_BYTES = 24_576;
/** Bytes that are parsed at a time: a pause takes effect after them. */
const MAX_READ_BYTES = 4_096;
/**
 * Lines that are read without a handler being called. The parser keeps two objects
 * for each field of a head, however short it is; heads have some tens of fields.
 */
const MAX_UNHANDLED_LINES = 512;
/** Bytes that are parsed at a time where a head is expected, or more of one. */
const MAX_HEAD_READ_BYTES = 1_024;
const LINE_FEED = 10;

interface Connection {
  isPaused: boolean;
  /** Bytes, and lines of them, that were read since a handler was last called. */
  unhandledBytes: number;
  unhandledLines: number;
  /** Whether the latest bytes called no handler, or ended an answer. */
  isAtHead: boolean;
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
    if (connection === undefined) return;
    connection.unhandledBytes = 0;
    connection.unhandledLines = 0;
    connection.isAtHead = false;
  }

  /** Records that a head is expected next on the connection. */
  recordEnd(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection !== undefined) connection.isAtHead = true;
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
    const connection: Connection = {
      isPaused: false,
      unhandledBytes: 0,
      unhandledLines: 0,
      isAtHead: true,
    };
    this.#connections.set(socket, connection);
    const read = socket.read.bind(socket);
    socket.read = (size?: number) => {
      // Node.js itself calls `read(0)`, which returns nothing, to fill its buffer.
      if (size === 0) return read(0);
      // undici would go on to parse what a connection that it has closed still holds.
      if (connection.isPaused || socket.destroyed) return null;
      if (isOverflowing(connection)) {
        socket.destroy(describeOverflow(connection));
        return null;
      }
      const bytes = readPart(socket, read, connection);
      if (bytes === null) return null;
      this.#latest = socket;
      this.#meter.recordReceived(bytes.length);
      connection.unhandledBytes += bytes.length;
      if (connection.isAtHead) connection.unhandledLines += countLines(bytes);
      connection.isAtHead = true;
      return bytes;
    };
  }
}

function readPart(
  socket: Socket,
  read: Socket["read"],
  { isAtHead, unhandledBytes }: Connection,
): Buffer | null {
  const sizeBytes = Math.min(
    socket.readableLength,
    isAtHead ? MAX_HEAD_READ_BYTES : MAX_READ_BYTES,
    // One more than allowed shows that there are more.
    MAX_UNHANDLED_BYTES + 1 - unhandledBytes,
  );
  // Without any bytes, `read` notices the end of the connection.
  return sizeBytes === 0 ? read() : read(sizeBytes);
}

function isOverflowing(
  { unhandledBytes, unhandledLines }: Connection,
): boolean {
  return unhandledBytes > MAX_UNHANDLED_BYTES ||
    unhandledLines > MAX_UNHANDLED_LINES;
}

function countLines(bytes: Buffer): number {
  let count = 0;
  for (const byte of bytes) {
    if (byte === LINE_FEED) count += 1;
  }
  return count;
}

function describeOverflow(
  { unhandledBytes, unhandledLines }: Connection,
): Error {
  return new Error(
    `${unhandledBytes} bytes and ${unhandledLines} lines that are no part of an answer; the limits are ${MAX_UNHANDLED_BYTES} and ${MAX_UNHANDLED_LINES}`,
  );
}
