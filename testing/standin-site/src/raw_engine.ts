/**
 * Stand-in for a target whose answers are written byte by byte, on a connection
 * that goes on to serve further requests. `SiteEngine` is served by Node.js, which
 * would keep back what follows a first answer.
 */

import { HEADERS } from "@dandelionbank/platform-adapter";
import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import { listenOnLoopback, readLoopbackAddress } from "./listen_on_loopback.ts";

export interface RawCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly attemptId: string;
  readonly body: Buffer;
  readonly socket: Socket;
  /** The attempt id, and a seal that names the engine and the attempt. */
  readonly answerHeaders: Readonly<Record<string, string>>;
}

export type RawScript = (call: RawCall) => void;

const HEAD_END = "\r\n\r\n";

export class RawEngine {
  readonly id: string;
  readonly calls: RawCall[] = [];
  script: RawScript = sendRawAnswer;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  private constructor(id: string) {
    this.id = id;
    this.#server = createServer((socket) => this.#serve(socket));
  }

  static async create(id: string): Promise<RawEngine> {
    const engine = new RawEngine(id);
    await listenOnLoopback(engine.#server);
    return engine;
  }

  get address(): string {
    return readLoopbackAddress(this.#server);
  }

  /** Creates the `servers` object that registers this engine in the store. */
  createServerSpec({ service }: { readonly service: string }) {
    return {
      service,
      address: this.address,
      zone: "a",
      version: "v1",
      slots: 64,
      state: "ready",
      "cold_left_ms": 0,
      sequence: 0,
    };
  }

  async close(): Promise<void> {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
    await once(this.#server, "close");
  }

  #serve(socket: Socket): void {
    this.#sockets.add(socket);
    // The entry resets connections.
    socket.on("error", () => undefined);
    socket.on("close", () => this.#sockets.delete(socket));
    let pending = Buffer.alloc(0);
    socket.on("data", (bytes: Buffer) => {
      pending = Buffer.concat([pending, bytes]);
      for (;;) {
        const read = readRequest(pending);
        if (read === undefined) return;
        pending = pending.subarray(read.sizeBytes);
        this.#handle(socket, read);
      }
    });
  }

  #handle(socket: Socket, { method, path, headers, body }: RawRequest): void {
    const attemptId = headers[HEADERS.attemptId] ?? "";
    const call: RawCall = {
      method,
      path,
      headers,
      attemptId,
      body,
      socket,
      answerHeaders: {
        [HEADERS.attemptId]: attemptId,
        [HEADERS.answerSeal]: `seal-${this.id}-${attemptId}`,
      },
    };
    this.calls.push(call);
    this.script(call);
  }
}

/** Text of the answer to a call, which no other call gets. */
export function renderRawBody({ attemptId }: Pick<RawCall, "attemptId">) {
  return `whole answer to ${attemptId}`;
}

/** Renders an answer with a length. */
export function renderRawAnswer(
  call: Pick<RawCall, "answerHeaders" | "attemptId">,
  { status = 200, headers = call.answerHeaders, body = renderRawBody(call) }: {
    readonly status?: number;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
  } = {},
): string {
  const fields = { ...headers, "content-length": String(body.length) };
  const lines = Object.entries(fields).map((field) => field.join(": "));
  return [`HTTP/1.1 ${status} Status`, ...lines, "", body].join("\r\n");
}

export function sendRawAnswer(call: RawCall): void {
  call.socket.write(renderRawAnswer(call));
}

type RawRequest = Pick<RawCall, "method" | "path" | "headers" | "body"> & {
  readonly sizeBytes: number;
};

/** Reads a request with a length or without a body, once it is complete. */
function readRequest(bytes: Buffer): RawRequest | undefined {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const [start = "", ...lines] = bytes.toString("latin1", 0, headEnd)
    .split("\r\n");
  const [method = "", path = ""] = start.split(" ");
  const headers = Object.fromEntries(lines.map((line) => {
    const colon = line.indexOf(":");
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  }));
  const bodyStart = headEnd + HEAD_END.length;
  const sizeBytes = bodyStart + Number(headers["content-length"] ?? 0);
  if (bytes.length < sizeBytes) return undefined;
  const body = bytes.subarray(bodyStart, sizeBytes);
  return { method, path, headers, body, sizeBytes };
}
