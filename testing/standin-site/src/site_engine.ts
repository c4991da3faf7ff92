/**
 * Stand-in for a target on the users' platform, an engine or a plain service. It records each call and answers it
 * with a replaceable script. A script has the raw response and its socket, so it
 * can produce any kind of malformed answer.
 */

import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { HEADERS } from "@dandelionbank/platform-adapter";
import { listenOnLoopback, readLoopbackAddress } from "./listen_on_loopback.ts";

export interface EngineCall {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  readonly response: ServerResponse;
  /** Headers without which an entry rejects an answer: the attempt id and a seal. */
  readonly answerHeaders: Readonly<Record<string, string>>;
}

export type EngineScript = (call: EngineCall) => void;

export class SiteEngine {
  readonly id: string;
  readonly calls: EngineCall[] = [];
  readonly #server: Server;
  /** Answers each call; a test replaces it to inject faults. */
  script: EngineScript = sendCompleteAnswer;
  /** Number of calls whose connection closed before the answer ended. */
  abandonedCalls = 0;

  private constructor(id: string) {
    this.id = id;
    this.#server = createServer((request, response) =>
      void this.#handle(request, response)
    );
  }

  static async create(id: string): Promise<SiteEngine> {
    const engine = new SiteEngine(id);
    await listenOnLoopback(engine.#server);
    return engine;
  }

  get isUp(): boolean {
    return this.#server.listening;
  }

  get address(): string {
    return readLoopbackAddress(this.#server);
  }

  /** Creates the `servers` object that registers this engine in the store. */
  createServerSpec(
    { service, state = "ready" }: {
      readonly service: string;
      readonly state?: string;
    },
  ) {
    return {
      service,
      address: this.address,
      zone: "a",
      version: "v1",
      slots: 8,
      state,
      "cold_left_ms": 0,
      sequence: 0,
    };
  }

  async close(): Promise<void> {
    if (!this.#server.listening) return;
    this.#server.close();
    this.#server.closeAllConnections();
    await once(this.#server, "close");
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    let body = "";
    for await (const chunk of request) body += String(chunk);
    const attemptId = String(request.headers[HEADERS.attemptId] ?? "");
    const expected = request.headers[HEADERS.expectedTarget];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { [HEADERS.attemptId]: attemptId }).end();
      return;
    }
    response.on("close", () => {
      if (!response.writableEnded) this.abandonedCalls += 1;
    });
    const call: EngineCall = {
      method: request.method ?? "",
      path: request.url ?? "",
      headers: request.headers,
      body,
      response,
      answerHeaders: {
        [HEADERS.attemptId]: attemptId,
        [HEADERS.answerSeal]: `seal-${this.id}`,
      },
    };
    this.calls.push(call);
    this.script(call);
  }
}

export function sendCompleteAnswer(
  { response, answerHeaders, body }: EngineCall,
): void {
  const text = `whole answer ${body}`;
  response.writeHead(200, { ...answerHeaders, "content-length": text.length });
  response.end(text);
}

/**
 * Renders the head of an answer for scripts that write to the raw socket. Without
 * a `content-length` in `fields`, the end of the connection ends the answer.
 */
export function renderAnswerHead(
  { answerHeaders }: Pick<EngineCall, "answerHeaders">,
  { status = 200, fields = {} }: {
    readonly status?: number;
    readonly fields?: Readonly<Record<string, string | number>>;
  } = {},
): string {
  const lines = Object.entries({ ...answerHeaders, ...fields })
    .map((field) => field.join(": "));
  return [`HTTP/1.1 ${status} Status`, ...lines, "", ""].join("\r\n");
}

/** Answers 503 with the header that proves that the request did not run. */
export function refuseAsNotRun({ response, answerHeaders }: EngineCall): void {
  response.writeHead(503, {
    [HEADERS.attemptId]: answerHeaders[HEADERS.attemptId],
    [HEADERS.notRun]: "1",
    "content-length": 0,
  }).end();
}

/** Creates a script that refuses as not run, with the seconds in which nothing more is wanted. */
export function refuseFor(retryAfterS: number | string): EngineScript {
  return ({ response, answerHeaders }) => {
    response.writeHead(503, {
      [HEADERS.attemptId]: answerHeaders[HEADERS.attemptId],
      [HEADERS.notRun]: "1",
      [HEADERS.retryAfter]: String(retryAfterS),
      "content-length": 0,
    }).end();
  };
}

/**
 * Writes `start`, and then `repeated` as fast as it is taken, until the
 * connection is closed.
 */
export function sendWithoutEnd(
  { response }: EngineCall,
  { start, repeated }: { readonly start: string; readonly repeated: Buffer },
): void {
  const socket = response.socket!;
  const send = () => {
    while (!socket.destroyed && socket.write(repeated));
  };
  // An entry resets the connection.
  socket.on("error", () => undefined);
  socket.on("drain", send);
  socket.write(start);
  send();
}

/** Resets the connection after the request was read. */
export function resetConnection({ response }: EngineCall): void {
  response.socket?.resetAndDestroy();
}

/**
 * Creates a script that streams the events after `Last-Event-Id` up to `last`,
 * or resets the connection after event `cutAfter`.
 */
export function streamEvents(
  { last, cutAfter }: { readonly last: number; readonly cutAfter?: number },
): EngineScript {
  return ({ response, answerHeaders, headers }) => {
    const from = Number(headers[HEADERS.lastEventId] ?? 0);
    response.writeHead(200, {
      ...answerHeaders,
      "content-type": "text/event-stream",
    });
    for (let id = from + 1; id <= last; id++) {
      if (cutAfter !== undefined && id > cutAfter) {
        // The reset leaves an incomplete event.
        response.write(`id: ${id}\ndata: ha`, () => {
          response.socket?.resetAndDestroy();
        });
        return;
      }
      response.write(`id: ${id}\ndata: token ${id}\n\n`);
    }
    response.end();
  };
}
