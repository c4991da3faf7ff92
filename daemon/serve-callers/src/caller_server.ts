/**
 * HTTP server for callers. Checks every request before it is passed to the request
 * task. A request that fails a check is rejected at once with the outcome `notRun`,
 * since nothing was dispatched, or with `unknown` if an earlier request under the
 * same idempotency key may have been.
 */

import { readBearerKey } from "@dandelionbank/check-credential";
import { HttpListener } from "@dandelionbank/listen-http";
import type { TlsMaterial } from "@dandelionbank/load-tls";
import { digestRequest } from "@dandelionbank/digest-bodies";
import type { RejectionCode } from "@dandelionbank/describe-outcome";
import { OPERATOR_PATH } from "@dandelionbank/operator-api";
import { readCall } from "@dandelionbank/read-call";
import type { Config, Contract } from "@dandelionbank/types";
import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import { type CallerAnswer, HttpCallerAnswer } from "./caller_answer.ts";
import { type CallerRequest, createRequestId } from "./caller_request.ts";
import { readBody } from "./read_body.ts";

const ADDRESSES_PATH = "/v1/addresses";
/** Limit for an `Idempotency-Key`. */
const MAX_KEY_CHARACTERS = 512;

/** Codes of requests that are rejected whatever the state of the system. */
const STATE_INDEPENDENT_CODES: ReadonlySet<RejectionCode> = new Set([
  "bodyInvalid",
  "bodyNotJson",
  "credentialMissing",
  "keyInvalid",
  "methodNotAllowed",
  "routeUnknown",
]);

/** Retry delay given to a caller whose request is rejected here. */
const REJECTION_RETRY_MS = 1_000;

export interface AddressAnswer {
  readonly addresses: readonly string[];
  readonly validityMs: number;
  readonly ticket: string;
}

/** Functions that the entry provides to the server. */
export interface CallerHandlers {
  /** Returns why requests are rejected now, or `undefined` if they are accepted. */
  readRefusal(): RejectionCode | undefined;
  readConfig():
    | { readonly revision: number; readonly config: Config }
    | undefined;
  /** Returns the contract of the organisation that owns a bearer key. */
  findContract(key: string): Contract | undefined;
  /** Creates the answer with the entries to call and a ticket for new keys. */
  createAddressAnswer(contract: Contract): AddressAnswer;
  handleRequest(request: CallerRequest, answer: CallerAnswer): void;
}

export interface CallerServerOptions {
  readonly entry: string;
  readonly host: string;
  readonly port: number;
  readonly handlers: CallerHandlers;
  readonly operatorListener: RequestListener;
  readonly tls?: TlsMaterial;
}

export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: HttpListener;

  private constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#server = HttpListener.create({
      ...options,
      listener: (request, response) => void this.#serve(request, response),
    });
  }

  static create(options: CallerServerOptions): CallerServer {
    return new CallerServer(options);
  }

  /** Resolves with the port on which the server listens. */
  listen(): Promise<number> {
    return this.#server.listen();
  }

  /** Stops accepting connections and waits for the requests in flight. */
  close(): Promise<void> {
    return this.#server.close();
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = request.url ?? "/";
    if (path.startsWith(OPERATOR_PATH)) {
      this.#options.operatorListener(request, response);
      return;
    }
    const requestId = createRequestId();
    const answer = HttpCallerAnswer.create(response, {
      requestId,
      entry: this.#options.entry,
    });
    const checked = await this.#check(request, path);
    if (typeof checked === "string") {
      return reject(answer, checked, request.headers["idempotency-key"]);
    }
    if (checked.kind === "addresses") return sendJson(response, checked.value);
    this.#options.handlers.handleRequest(
      { ...checked.request, requestId },
      answer,
    );
  }

  async #check(request: IncomingMessage, path: string): Promise<CheckResult> {
    const { handlers } = this.#options;
    const key = readBearerKey(request.headers.authorization);
    if (key === undefined) return "credentialMissing";
    const current = handlers.readConfig();
    if (current === undefined) return "notReady";
    const contract = handlers.findContract(key);
    if (contract === undefined) return "credentialUnknown";
    if (path === ADDRESSES_PATH) {
      if (request.method !== "GET") return "methodNotAllowed";
      return {
        kind: "addresses",
        value: handlers.createAddressAnswer(contract),
      };
    }
    const refusal = handlers.readRefusal();
    if (refusal !== undefined) return refusal;
    const result = await parseRequest(request, { path, contract, current });
    // The entry may have begun to stop while the body arrived.
    return handlers.readRefusal() ?? result;
  }
}

type CheckResult =
  | RejectionCode
  | { readonly kind: "addresses"; readonly value: AddressAnswer }
  | {
    readonly kind: "request";
    readonly request: Omit<CallerRequest, "requestId">;
  };

interface RequestContext {
  readonly path: string;
  readonly contract: Contract;
  readonly current: { readonly revision: number; readonly config: Config };
}

async function parseRequest(
  request: IncomingMessage,
  context: RequestContext,
): Promise<CheckResult> {
  const { config, revision } = context.current;
  const key = request.headers["idempotency-key"];
  if (typeof key === "string" && key.length > MAX_KEY_CHARACTERS) {
    return "keyInvalid";
  }
  const read = await readBody(request, config.bodyLimitBytes);
  if (read.kind === "tooLarge") return "bodyTooLarge";
  if (read.kind === "aborted") return "bodyInvalid";
  const method = request.method ?? "GET";
  const result = readCall({
    method,
    path: context.path,
    body: read.body.toString("utf8"),
    mayRepeat: request.headers["dandelionbank-idempotent"] !== "false",
  }, config);
  if (result.kind === "invalid") return result.code;
  return {
    kind: "request",
    request: {
      contract: context.contract,
      viewRevision: revision,
      config,
      call: result.call,
      method,
      contentType: request.headers["content-type"] ?? "",
      key: typeof key === "string" ? key : undefined,
      fingerprint: digestRequest({
        organisation: context.contract.organisation,
        method,
        path: context.path,
        body: read.body,
      }),
      body: read.body,
    },
  };
}

/** Reports `unknown` if an earlier request under the same key may have been dispatched. */
function reject(
  answer: CallerAnswer,
  code: RejectionCode,
  key: string | readonly string[] | undefined,
): void {
  const retryAfterMs = REJECTION_RETRY_MS;
  const isProvenNotRun = key === undefined || STATE_INDEPENDENT_CODES.has(code);
  answer.sendOutcome(
    isProvenNotRun
      ? {
        kind: "notRun",
        proof: { kind: "neverDispatched" },
        code,
        retryAfterMs,
      }
      : { kind: "unknown", code, retryAfterMs },
  );
}

function sendJson(response: ServerResponse, value: unknown): void {
  const body = JSON.stringify(value);
  response.writeHead(200, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}
