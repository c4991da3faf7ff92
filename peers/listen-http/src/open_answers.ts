/** The answers of a server that have not been sent completely. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

export interface OpenAnswersOptions {
  /** Called after an answer was sent, or its connection was closed. */
  readonly onClosed: () => void;
}

export class OpenAnswers {
  readonly #options: OpenAnswersOptions;
  readonly #bySocket = new Map<Socket, Set<ServerResponse>>();

  private constructor(options: OpenAnswersOptions) {
    this.#options = options;
  }

  static create(options: OpenAnswersOptions): OpenAnswers {
    return new OpenAnswers(options);
  }

  get count(): number {
    let count = 0;
    for (const answers of this.#bySocket.values()) count += answers.size;
    return count;
  }

  /** True if the bytes of an answer that has ended still wait for their reader. */
  get hasUnsent(): boolean {
    return [...this.#bySocket.values()].some((answers) =>
      [...answers].some(({ writableEnded }) => writableEnded)
    );
  }

  add({ socket }: IncomingMessage, response: ServerResponse): void {
    const answers = this.#getAnswers(socket);
    answers.add(response);
    response.once("close", () => {
      answers.delete(response);
      this.#options.onClosed();
    });
  }

  #getAnswers(socket: Socket): Set<ServerResponse> {
    const existing = this.#bySocket.get(socket);
    if (existing !== undefined) return existing;
    const answers = new Set<ServerResponse>();
    this.#bySocket.set(socket, answers);
    // An answer that waits behind another one is not told of their socket's end.
    socket.once("close", () => {
      this.#bySocket.delete(socket);
      this.#options.onClosed();
    });
    return answers;
  }
}
