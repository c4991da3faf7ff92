/**
 * Serves tRPC calls and attempts to entries and agents. A request body is read
 * only after the request has presented the shared secret.
 */

import { encodeFrame, parseMessage } from "@dandelionbank/attempt-codec";
import { isSameSecret, readBearerKey } from "@dandelionbank/check-credential";
import { ByteCollector } from "@dandelionbank/collect-bytes";
import { HttpListener } from "@dandelionbank/listen-http";
import type { TlsMaterial } from "@dandelionbank/load-tls";
import { MAX_BODY_LIMIT_BYTES } from "@dandelionbank/parse-objects";
import { serveCall } from "@dandelionbank/trpc-over-http";
import type { PeerFrame, PeerMessage } from "@dandelionbank/types";
import type { AnyRouter } from "@trpc/server";
import type { IncomingMessage, ServerResponse } from "node:http";

const TRPC_PREFIX = "/trpc/";
const ATTEMPTS_PATH = "/attempts";
const LINE_FEED = 10;
/**
 * Longer than the clients keep idle connections, so that the client closes an
 * idle connection first.
 */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;

/**
 * Limit for an attempt's message line. It holds a path, a key and a content type
 * from a head of at most 16 KiB, which escapes make up to six times as long.
 */
const MAX_LINE_BYTES = 128 * 1024;
const MAX_ATTEMPT_BYTES = MAX_LINE_BYTES + MAX_BODY_LIMIT_BYTES;

/** A received message and the body that follows it. */
export interface AttemptRequest {
  readonly message: PeerMessage;
  readonly body: Buffer;
}

/** Sends the frames that answer one attempt. */
export interface AttemptResponder {
  /** Returns false if the frame was buffered since the peer reads too slowly. */
  write(line: string): boolean;
  send(frame: PeerFrame): void;
  end(): void;
  onDrained(listener: () => void): void;
  /** Registers a listener for the peer closing the connection before `end`. */
  onAbandoned(listener: () => void): void;
}

export interface PeerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly peerSecret: string;
  readonly router: AnyRouter;
  readonly onAttempt: (
    request: AttemptRequest,
    responder: AttemptResponder,
  ) => void;
  /** Enables TLS, which is mutual if the material includes an authority. */
  readonly tls?: TlsMaterial;
}

export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #server: HttpListener;

  private constructor(options: PeerServerOptions) {
    this.#options = options;
    this.#server = HttpListener.create({
      ...options,
      listener: (request, response) => this.#route(request, response),
      keepAliveTimeoutMs: KEEP_ALIVE_TIMEOUT_MS,
    });
  }

  static create(options: PeerServerOptions): PeerServer {
    return new PeerServer(options);
  }

  /** Resolves with the port of the listening socket. */
  listen(): Promise<number> {
    return this.#server.listen();
  }

  /** Accepts no new connections; resolves when requests in flight have ended. */
  close(): Promise<void> {
    return this.#server.close();
  }

  #route(request: IncomingMessage, response: ServerResponse): void {
    if (!this.#isAuthenticated(request)) {
      response.writeHead(401).end();
      request.resume();
      return;
    }
    const path = request.url ?? "/";
    if (path === ATTEMPTS_PATH && request.method === "POST") {
      this.#readAttempt(request, response);
      return;
    }
    if (path.startsWith(TRPC_PREFIX)) {
      const { router } = this.#options;
      void serveCall(request, response, { router, pathPrefix: TRPC_PREFIX });
      return;
    }
    response.writeHead(404).end();
    request.resume();
  }

  #isAuthenticated(request: IncomingMessage): boolean {
    const given = readBearerKey(request.headers.authorization);
    return isSameSecret(given ?? "", this.#options.peerSecret);
  }

  #readAttempt(request: IncomingMessage, response: ServerResponse): void {
    const collector = ByteCollector.create({
      expectedBytes: MAX_ATTEMPT_BYTES,
    });
    request.on("data", (chunk: Buffer) => {
      const isTooLong = collector.lengthBytes + chunk.length >
        MAX_ATTEMPT_BYTES;
      if (isTooLong) request.destroy();
      else collector.add(chunk);
    });
    request.on("end", () => {
      const attempt = parseAttempt(collector.take());
      if (attempt === undefined) {
        response.writeHead(400).end();
        return;
      }
      if (attempt.body.length > MAX_BODY_LIMIT_BYTES) {
        response.writeHead(413).end();
        return;
      }
      response.writeHead(200, { "content-type": "application/x-ndjson" });
      this.#options.onAttempt(attempt, createResponder(response));
    });
  }
}

function parseAttempt(bytes: Buffer): AttemptRequest | undefined {
  const lineEnd = bytes.indexOf(LINE_FEED);
  if (lineEnd < 0) return undefined;
  const parsed = parseMessage(bytes.toString("utf8", 0, lineEnd));
  if (parsed.kind === "invalid") return undefined;
  return { message: parsed.message, body: bytes.subarray(lineEnd + 1) };
}

function createResponder(response: ServerResponse): AttemptResponder {
  return {
    write: (line) => response.write(line),
    send: (frame) => {
      response.write(encodeFrame(frame));
    },
    end: () => {
      response.end();
    },
    onDrained: (listener) => {
      response.on("drain", listener);
    },
    onAbandoned: (listener) => {
      response.once("close", () => {
        if (!response.writableEnded) listener();
      });
    },
  };
}
