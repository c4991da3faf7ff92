/**
 * HTTP server for `/metrics`, `/healthz` and `/readyz`. Health says that the
 * process runs; readiness, that it takes work.
 */

import { createError } from "@dandelionbank/error";
import type { Registry } from "@dandelionbank/metrics";
import type { ErrorBody } from "@dandelionbank/types";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

const REQUEST_TIMEOUT_MS = 5_000;

export interface Readiness {
  readonly isReady: boolean;
  /** Why the process does not take work; empty when it does. */
  readonly reasons: readonly string[];
}

export interface ObservabilityOptions {
  readonly host: string;
  /** 0 takes any free port. */
  readonly port: number;
  readonly registry: Registry;
  readonly readReadiness: () => Readiness;
}

interface Answer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

type Route = () => Promise<Answer> | Answer;

export class ObservabilityServer {
  readonly #server: Server;
  readonly #routes: ReadonlyMap<string, Route>;

  private constructor({ registry, readReadiness }: ObservabilityOptions) {
    this.#routes = new Map<string, Route>([
      ["/metrics", () => answerMetrics(registry)],
      ["/healthz", () => toJson(200, { status: "ok" })],
      ["/readyz", () => answerReadiness(readReadiness())],
    ]);
    this.#server = createServer(
      { requestTimeout: REQUEST_TIMEOUT_MS },
      (request, response) => void this.#handle(request, response),
    );
  }

  /** Resolves when the server listens. */
  static async create(
    options: ObservabilityOptions,
  ): Promise<ObservabilityServer> {
    const created = new ObservabilityServer(options);
    const { host, port } = options;
    try {
      created.#server.listen(port, host);
      await once(created.#server, "listening");
    } catch (cause) {
      throw createError("Cannot listen for observability", {
        code: "DANDELIONBANK_LISTEN_FAILED",
        step: "listen",
        peer: `${host}:${port}`,
        hint: "Choose another --observe-listen",
        cause,
      });
    }
    return created;
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  async close(): Promise<void> {
    const closed = once(this.#server, "close");
    this.#server.close();
    this.#server.closeAllConnections();
    await closed;
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const answer = await this.#answer(request).catch(answerFailure);
    response.writeHead(answer.status, {
      "content-type": answer.contentType,
      "content-length": Buffer.byteLength(answer.body),
    });
    response.end(request.method === "HEAD" ? "" : answer.body);
  }

  async #answer(request: IncomingMessage): Promise<Answer> {
    const path = (request.url ?? "/").split("?")[0] ?? "/";
    const route = this.#routes.get(path);
    if (route === undefined) return answerError(404, UNKNOWN_PATH);
    if (request.method !== "GET" && request.method !== "HEAD") {
      return answerError(405, WRONG_METHOD);
    }
    return await route();
  }
}

interface ErrorText {
  readonly code: string;
  readonly message: string;
  readonly hint: string;
}

const UNKNOWN_PATH: ErrorText = {
  code: "DANDELIONBANK_UNKNOWN_PATH",
  message: "No such path",
  hint: "Ask for /metrics, /healthz or /readyz",
};

const WRONG_METHOD: ErrorText = {
  code: "DANDELIONBANK_WRONG_METHOD",
  message: "Only GET and HEAD are served here",
  hint: "Send a GET request",
};

async function answerMetrics(registry: Registry): Promise<Answer> {
  const body = await registry.metrics();
  return { status: 200, contentType: registry.contentType, body };
}

function answerReadiness(readiness: Readiness): Answer {
  const { isReady, reasons } = readiness;
  return toJson(isReady ? 200 : 503, { ready: isReady, reasons });
}

function answerFailure(error: Error): Answer {
  return answerError(500, {
    code: "DANDELIONBANK_OBSERVABILITY_FAILED",
    message: error.message,
    hint: "Report it with the log lines around it",
  });
}

function answerError(status: number, text: ErrorText): Answer {
  const body: ErrorBody = { error: { ...text, outcome: "notRun" } };
  return toJson(status, body);
}

function toJson(status: number, value: object): Answer {
  const contentType = "application/json";
  return { status, contentType, body: `${JSON.stringify(value)}\n` };
}
