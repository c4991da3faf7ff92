/**
 * HTTP server for `/metrics`, `/healthz` and `/readyz`. The health check succeeds
 * while the process runs, the readiness check while it accepts work.
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
  /** Why the process does not accept work; empty if it does. */
  readonly reasons: readonly string[];
}

export interface ObservabilityOptions {
  readonly host: string;
  /** 0 selects any free port. */
  readonly port: number;
  readonly registry: Registry;
  readonly readReadiness: () => Readiness;
}

interface HttpResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

type Route = () => Promise<HttpResponse> | HttpResponse;

export class ObservabilityServer {
  readonly #server: Server;
  readonly #routes: ReadonlyMap<string, Route>;

  private constructor({ registry, readReadiness }: ObservabilityOptions) {
    this.#routes = new Map<string, Route>([
      ["/metrics", () => createMetricsResponse(registry)],
      ["/healthz", () => createJsonResponse(200, { status: "ok" })],
      ["/readyz", () => createReadinessResponse(readReadiness())],
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
    const observabilityServer = new ObservabilityServer(options);
    const { host, port } = options;
    try {
      observabilityServer.#server.listen(port, host);
      await once(observabilityServer.#server, "listening");
    } catch (cause) {
      throw createError("Cannot listen for observability", {
        code: "DANDELIONBANK_LISTEN_FAILED",
        step: "listen",
        peer: `${host}:${port}`,
        hint: "Choose another --observe-listen",
        cause,
      });
    }
    return observabilityServer;
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
    const result = await this.#route(request).catch(createFailureResponse);
    response.writeHead(result.status, {
      "content-type": result.contentType,
      "content-length": Buffer.byteLength(result.body),
    });
    response.end(request.method === "HEAD" ? "" : result.body);
  }

  async #route(request: IncomingMessage): Promise<HttpResponse> {
    const path = (request.url ?? "/").split("?")[0] ?? "/";
    const route = this.#routes.get(path);
    if (route === undefined) return createErrorResponse(404, UNKNOWN_PATH);
    if (request.method !== "GET" && request.method !== "HEAD") {
      return createErrorResponse(405, WRONG_METHOD);
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

async function createMetricsResponse(
  registry: Registry,
): Promise<HttpResponse> {
  const body = await registry.metrics();
  return { status: 200, contentType: registry.contentType, body };
}

function createReadinessResponse(readiness: Readiness): HttpResponse {
  const { isReady, reasons } = readiness;
  return createJsonResponse(isReady ? 200 : 503, { ready: isReady, reasons });
}

function createFailureResponse(error: Error): HttpResponse {
  return createErrorResponse(500, {
    code: "DANDELIONBANK_OBSERVABILITY_FAILED",
    message: error.message,
    hint: "Report it with the log lines around it",
  });
}

function createErrorResponse(status: number, text: ErrorText): HttpResponse {
  const body: ErrorBody = { error: { ...text, outcome: "notRun" } };
  return createJsonResponse(status, body);
}

function createJsonResponse(status: number, value: object): HttpResponse {
  const contentType = "application/json";
  return { status, contentType, body: `${JSON.stringify(value)}\n` };
}
