/** A call to a stand-in and its reply, to which the current faults are applied. */

import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { encodeJson } from "./encode_json.ts";

export interface Call {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

export interface ReplyFaults {
  /** Closes the connection in place of sending the reply. */
  readonly drop: boolean;
  /** Sends only the first half of a JSON body. */
  readonly garble: boolean;
  /** Whether nothing more may be sent on this connection. */
  isSilent(): boolean;
}

export class Reply {
  readonly #response: ServerResponse;
  readonly #faults: ReplyFaults;
  /** Stays true once set, even if the fault is cleared. */
  #isSilent = false;

  constructor(response: ServerResponse, faults: ReplyFaults) {
    this.#response = response;
    this.#faults = faults;
  }

  sendJson(status: number, body: unknown, headers = {}): void {
    if (this.#mustStaySilent()) return;
    if (this.#faults.drop) return this.cut();
    const text = encodeJson(body);
    const sent = this.#faults.garble ? text.slice(0, text.length / 2) : text;
    this.#response.writeHead(status, {
      "content-type": "application/json",
      ...headers,
    });
    this.#response.end(sent);
  }

  /** Sends the head of a reply whose body is written in parts. */
  sendHead(contentType: string, lengthBytes?: number): void {
    if (this.#mustStaySilent()) return;
    if (this.#faults.drop) return this.cut();
    this.#response.writeHead(200, {
      "content-type": contentType,
      ...(lengthBytes === undefined ? {} : { "content-length": lengthBytes }),
    });
    this.#response.flushHeaders();
  }

  /** Returns false if the connection's send buffer is full. */
  write(chunk: string | Uint8Array): boolean {
    if (this.#mustStaySilent()) return true;
    return this.#response.write(chunk);
  }

  end(): void {
    if (!this.#mustStaySilent()) this.#response.end();
  }

  /** Closes the connection once the data written so far has been sent. */
  cut(): void {
    this.#isSilent = true;
    this.#response.uncork();
    this.#response.socket?.destroySoon();
  }

  onDrain(listener: () => void): void {
    this.#response.on("drain", listener);
  }

  /** Calls `listener` when the reply has been sent or the caller has disconnected. */
  onClose(listener: () => void): void {
    this.#response.on("close", listener);
  }

  #mustStaySilent(): boolean {
    this.#isSilent ||= this.#faults.isSilent();
    return this.#isSilent || this.#response.destroyed;
  }
}
