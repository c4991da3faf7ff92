/**
 * Listens for entries and agents. Nothing is read from a peer before it has
 * proved the shared secret.
 */

import { encodeFrame, parseMessage } from "@dandelionbank/exchange-attempts";
import { isSameSecret, readBearerKey } from "@dandelionbank/check-credential";
import { HttpListener } from "@dandelionbank/listen-http";
import type { TlsMaterial } from "@dandelionbank/load-tls";
import { serveCall } from "@dandelionbank/trpc-over-http";
import type { PeerFrame, PeerMessage } from "@dandelionbank/types";
import type { AnyRouter } from "@trpc/server";
import type { IncomingMessage, ServerResponse } from "node:http";

const TRPC_PREFIX = "/trpc/";
const ATTEMPTS_PATH = "/attempts";
const LINE_FEED = 10;
/** Longer than entries keep their connections, so that they close first. */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;

/** Longest body of an attempt: the callers' limit and the head. */
const ATTEMPT_LIMIT_BYTES = 64 * 1024 * 1024;

/** One message as it arrived. */
export interface AttemptRequest {
  readonly message: PeerMessage;
  readonly body: Buffer;
}

/** Sends the frames of one attempt back. */
export interface AttemptResponder {
  /** False while the peer reads more slowly than frames come. */
  write(line: string): boolean;
  send(frame: PeerFrame): void;
  end(): void;
  onDrained(listener: () => void): void;
  /** The peer went away before `end`. */
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
  /** Makes TLS mutual if it holds an authority. */
  readonly tls?: TlsMaterial;
}

export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #server: HttpListener;

  private constructor(options: PeerServerOptions) {
    this.#options = options;
    this.#server = HttpListener.create({
      ...options,
      listener: (request, response) => this.#serve(request, response),
      keepAliveTimeoutMs: KEEP_ALIVE_TIMEOUT_MS,
    });
  }

  static create(options: PeerServerOptions): PeerServer {
    return new PeerServer(options);
  }

  /** Resolves with the port that it listens on. */
  listen(): Promise<number> {
    return this.#server.listen();
  }

  /** Takes no new connections and waits for the requests under way. */
  close(): Promise<void> {
    return this.#server.close();
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    if (!this.#isPeer(request)) {
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

  #isPeer(request: IncomingMessage): boolean {
    const given = readBearerKey(request.headers.authorization);
    return isSameSecret(given ?? "", this.#options.peerSecret);
  }

  #readAttempt(request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    request.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > ATTEMPT_LIMIT_BYTES) request.destroy();
      else chunks.push(chunk);
    });
    request.on("end", () => {
      const attempt = parseAttempt(Buffer.concat(chunks));
      if (attempt === undefined) {
        response.writeHead(400).end();
        return;
      }
      response.writeHead(200, { "content-type": "application/x-ndjson" });
      this.#options.onAttempt(attempt, createResponder(response));
    });
  }
}

function parseAttempt(bytes: Buffer): AttemptRequest | undefined {
  const end = bytes.indexOf(LINE_FEED);
  if (end < 0) return undefined;
  const parsed = parseMessage(bytes.toString("utf8", 0, end));
  if (parsed.kind === "invalid") return undefined;
  return { message: parsed.message, body: bytes.subarray(end + 1) };
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
