/**
 * An entry's connections to one agent or to another entry. Each attempt is one
 * HTTP request whose response is a stream of frames. A connection that stops
 * delivering is closed together with its attempt, and the next attempt opens a
 * new one.
 */

import {
  encodeMessage,
  LineSplitter,
  parseFrame,
} from "@dandelionbank/attempt-codec";
import {
  type HttpAnswerHead,
  type HttpConnector,
  type HttpHandler,
  HttpPool,
  type RequestHandle,
} from "@dandelionbank/open-http";
import type { PeerFrame, PeerMessage } from "@dandelionbank/types";
import { StringDecoder } from "node:string_decoder";

export interface PeerConnectionOptions {
  readonly peerUrl: string;
  readonly peerSecret: string;
  readonly connector?: HttpConnector;
}

/** Receives the frames of an attempt and the end of their stream. */
export interface AttemptListener {
  onFrame(frame: PeerFrame): void;
  /**
   * Called when the stream has ended. `wasSent` is false only if the peer cannot
   * have received the attempt.
   */
  onClosed(reason: string, wasSent: boolean): void;
}

export class PeerConnection {
  readonly #pool: HttpPool;
  readonly #peerSecret: string;

  private constructor(options: PeerConnectionOptions) {
    this.#peerSecret = options.peerSecret;
    this.#pool = HttpPool.create({
      origin: options.peerUrl,
      ...(options.connector === undefined
        ? {}
        : { connector: options.connector }),
    });
  }

  static create(options: PeerConnectionOptions): PeerConnection {
    return new PeerConnection(options);
  }

  send(
    message: PeerMessage,
    body: Uint8Array,
    listener: AttemptListener,
  ): RequestHandle {
    return this.#pool.send(
      {
        method: "POST",
        path: "/attempts",
        headers: {
          "authorization": `Bearer ${this.#peerSecret}`,
          "content-type": "application/octet-stream",
        },
        body: Buffer.concat([Buffer.from(encodeMessage(message)), body]),
      },
      new FrameHandler(listener),
    );
  }

  /** Accepts no more attempts; resolves when those in flight have ended. */
  drain(): Promise<void> {
    return this.#pool.drain();
  }

  close(): Promise<void> {
    return this.#pool.close();
  }
}

class FrameHandler implements HttpHandler {
  readonly #listener: AttemptListener;
  readonly #decoder = new StringDecoder("utf8");
  readonly #splitter = new LineSplitter();
  #status = 0;

  constructor(listener: AttemptListener) {
    this.#listener = listener;
  }

  onHead(head: HttpAnswerHead): void {
    this.#status = head.status;
  }

  onData(chunk: Buffer): void {
    if (this.#status !== 200) return;
    const lines = this.#splitter.push(this.#decoder.write(chunk));
    for (const line of lines) this.#handleLine(line);
  }

  onEnd(): void {
    const reason = this.#status === 200
      ? "Peer closed the stream"
      : `Peer answered with status ${this.#status}`;
    this.#listener.onClosed(reason, this.#status === 200);
  }

  onError(error: Error, wasSent: boolean): void {
    this.#listener.onClosed(error.message, wasSent);
  }

  #handleLine(line: string): void {
    const result = parseFrame(line);
    if (result.kind === "ok") this.#listener.onFrame(result.frame);
  }
}
