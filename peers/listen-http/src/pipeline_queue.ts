/**
 * Serves the requests of a connection one after another. Node.js starts each
 * request as soon as its head is read, so a caller that sends requests ahead of
 * their answers could start any number of them, whose answers then wait in memory
 * for the first one's.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

export type Serve = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

interface Connection {
  readonly socket: Socket;
  /** Requests whose turn is still to come; the current one is not among them. */
  readonly waiting: Exchange[];
  isPausing: boolean;
}

/** From then on a connection is read on only as its requests are served. */
const MAX_WAITING_PER_CONNECTION = 16;
/**
 * Each takes some 4 KB, and one read of a connection can hold hundreds. Beyond
 * this number, connections on which too many wait are closed.
 */
const MAX_WAITING = 4_000;

const arrivals = new WeakMap<IncomingMessage, number>();

/** Returns when the request's head was read, which may be before its turn. */
export function readArrivalMs(request: IncomingMessage): number {
  return arrivals.get(request) ?? performance.now();
}

const waitingCounts = new WeakMap<Socket, number>();

/** Returns true if requests wait for the one that the connection serves. */
export function hasWaitingRequests(socket: Socket): boolean {
  return (waitingCounts.get(socket) ?? 0) > 0;
}

export class PipelineQueue {
  readonly #serve: Serve;
  readonly #connections = new Map<Socket, Connection>();
  /** Connections that an answer has announced to close. */
  readonly #closing = new WeakSet<Socket>();
  #waitingCount = 0;

  private constructor(serve: Serve) {
    this.#serve = serve;
  }

  static create(serve: Serve): PipelineQueue {
    return new PipelineQueue(serve);
  }

  /** Serves the request when those before it on its connection have ended. */
  handle(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    if (socket.destroyed || this.#closing.has(socket)) return;
    const connection = this.#connections.get(socket);
    if (connection === undefined) {
      this.#connections.set(socket, { socket, waiting: [], isPausing: false });
      return this.#start({ request, response });
    }
    arrivals.set(request, performance.now());
    connection.waiting.push({ request, response });
    waitingCounts.set(socket, connection.waiting.length);
    this.#waitingCount += 1;
    if (connection.waiting.length < MAX_WAITING_PER_CONNECTION) return;
    if (this.#waitingCount > MAX_WAITING) this.#close(connection);
    else this.#pause(connection);
  }

  #start({ request, response }: Exchange): void {
    response.once("close", () => this.#handleEnd({ request, response }));
    this.#serve(request, response);
  }

  #handleEnd({ request, response }: Exchange): void {
    const { socket } = request;
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    // An answer behind one that closes the connection could not be sent.
    if (!response.shouldKeepAlive) this.#closing.add(socket);
    const isClosing = socket.destroyed || this.#closing.has(socket);
    if (isClosing || connection.waiting.length === 0) {
      this.#forget(connection);
      return;
    }
    // Not at once, so that answers without a wait leave other connections a turn.
    setImmediate(() => this.#startNext(connection));
  }

  #startNext(connection: Connection): void {
    const { socket } = connection;
    if (socket.destroyed) return this.#forget(connection);
    const next = connection.waiting.shift();
    if (next === undefined) return this.#forget(connection);
    waitingCounts.set(socket, connection.waiting.length);
    this.#waitingCount -= 1;
    const isPaused = connection.isPausing;
    connection.isPausing = connection.waiting.length >=
      MAX_WAITING_PER_CONNECTION;
    if (isPaused && !connection.isPausing) socket.resume();
    this.#start(next);
  }

  /** The parser's own pending ticks resume the socket, so this comes after them. */
  #pause(connection: Connection): void {
    connection.isPausing = true;
    queueMicrotask(() => {
      if (connection.isPausing) connection.socket.pause();
    });
  }

  #close(connection: Connection): void {
    this.#forget(connection);
    connection.socket.destroy();
  }

  #forget(connection: Connection): void {
    this.#waitingCount -= connection.waiting.length;
    connection.waiting.length = 0;
    waitingCounts.delete(connection.socket);
    this.#connections.delete(connection.socket);
  }
}
