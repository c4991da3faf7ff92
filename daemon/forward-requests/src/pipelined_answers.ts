/**
 * The latest answer on each connection. Requests that a caller pipelines are
 * handled several at once, and their answers are sent in order; the one that
 * closes the connection has to be the last.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

export class PipelinedAnswers {
  readonly #latest = new WeakMap<Socket, ServerResponse>();

  private constructor() {}

  static create(): PipelinedAnswers {
    return new PipelinedAnswers();
  }

  /**
   * Adds the answer to a request. Returns false if an earlier answer has announced
   * that it closes the connection, so that this one could not be sent.
   */
  add({ socket }: IncomingMessage, response: ServerResponse): boolean {
    const earlier = this.#latest.get(socket);
    if (earlier?.headersSent && !earlier.shouldKeepAlive) return false;
    this.#latest.set(socket, response);
    return true;
  }

  /** Returns true if no request has come after the one that this answers. */
  isLatest({ req }: ServerResponse): boolean {
    return this.#latest.get(req.socket)?.req === req;
  }
}
