/**
 * Limits the requests in progress on one connection. Node.js starts each request
 * as soon as its head is read, so a caller that sends requests ahead of their
 * answers could start any number of them, whose answers then wait in memory for
 * the first one's.
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
  /** Requests whose turn is still to come. */
  readonly waiting: Exchange[];
  inProgress: number;
  isPaused: boolean;
}

/** Callers that send ahead rarely have more on their way. */
const MAX_IN_PROGRESS = 8;
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

export class PipelineQueue {
  readonly #serve: Serve;
  readonly #connections = new WeakMap<Socket, Connection>();
  #waitingCount = 0;

  private constructor(serve: Serve) {
    this.#serve = serve;
  }

  static create(serve: Serve): PipelineQueue {
    return new PipelineQueue(serve);
  }

  /** Serves the request once few enough before it are in progress. */
  handle(request: IncomingMessage, response: ServerResponse): void {
    if (request.socket.destroyed) return;
    const connection = this.#getConnection(request.socket);
    const { waiting } = connection;
    if (waiting.length === 0 && connection.inProgress < MAX_IN_PROGRESS) {
      return this.#start(connection, { request, response });
    }
    arrivals.set(request, performance.now());
    waiting.push({ request, response });
    this.#waitingCount += 1;
    if (waiting.length < MAX_WAITING_PER_CONNECTION) return;
    if (this.#waitingCount > MAX_WAITING) connection.socket.destroy();
    else this.#pause(connection);
  }

  #getConnection(socket: Socket): Connection {
    const existing = this.#connections.get(socket);
    if (existing !== undefined) return existing;
    const connection: Connection = {
      socket,
      waiting: [],
      inProgress: 0,
      isPaused: false,
    };
    this.#connections.set(socket, connection);
    socket.once("close", () => {
      this.#waitingCount -= connection.waiting.length;
      connection.waiting.length = 0;
    });
    return connection;
  }

  #start(connection: Connection, { request, response }: Exchange): void {
    connection.inProgress += 1;
    response.once("close", () => {
      connection.inProgress -= 1;
      // Not at once, so that answers without a wait leave other connections a turn.
      if (connection.waiting.length > 0) {
        setImmediate(() => this.#startNext(connection));
      }
    });
    this.#serve(request, response);
  }

  #startNext(connection: Connection): void {
    const { socket, waiting } = connection;
    const next = socket.destroyed ? undefined : waiting.shift();
    if (next === undefined) return;
    this.#waitingCount -= 1;
    if (connection.isPaused && waiting.length < MAX_WAITING_PER_CONNECTION) {
      connection.isPaused = false;
      socket.resume();
    }
    this.#start(connection, next);
  }

  /** The parser's own pending ticks resume the socket, so this comes after them. */
  #pause(connection: Connection): void {
    connection.isPaused = true;
    queueMicrotask(() => {
      if (connection.isPaused) connection.socket.pause();
    });
  }
}
