/** One call to a stand-in and its answer, which the faults in force may spoil. */

import type { IncomingHttpHeaders, ServerResponse } from "node:http";

export interface Call {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

export interface ReplyFaults {
  readonly drop: boolean;
  readonly garble: boolean;
  /** Whether nothing may be sent any more on the connection. */
  isSilent(): boolean;
}

export class Reply {
  readonly #response: ServerResponse;
  readonly #faults: ReplyFaults;
  /** Once silent, an answer stays so. */
  #isSilent = false;

  constructor(response: ServerResponse, faults: ReplyFaults) {
    this.#response = response;
    this.#faults = faults;
  }

  sendJson(status: number, body: unknown, headers = {}): void {
    if (this.#isMute()) return;
    if (this.#faults.drop) return this.cut();
    const text = JSON.stringify(body);
    const sent = this.#faults.garble ? text.slice(0, text.length / 2) : text;
    this.#response.writeHead(status, {
      "content-type": "application/json",
      ...headers,
    });
    this.#response.end(sent);
  }

  /** Begins an answer that is sent in parts. */
  begin(contentType: string, lengthBytes?: number): void {
    if (this.#isMute()) return;
    if (this.#faults.drop) return this.cut();
    this.#response.writeHead(200, {
      "content-type": contentType,
      ...(lengthBytes === undefined ? {} : { "content-length": lengthBytes }),
    });
    this.#response.flushHeaders();
  }

  /** Whether the connection takes more right now. */
  write(part: string | Uint8Array): boolean {
    if (this.#isMute()) return true;
    return this.#response.write(part);
  }

  end(): void {
    if (!this.#isMute()) this.#response.end();
  }

  /** Breaks the connection off after what was written so far. */
  cut(): void {
    this.#isSilent = true;
    this.#response.uncork();
    this.#response.socket?.destroySoon();
  }

  onDrain(listener: () => void): void {
    this.#response.on("drain", listener);
  }

  /** Calls back when the answer is sent or the caller has gone. */
  onClose(listener: () => void): void {
    this.#response.on("close", listener);
  }

  #isMute(): boolean {
    this.#isSilent ||= this.#faults.isSilent();
    return this.#isSilent || this.#response.destroyed;
  }
}
