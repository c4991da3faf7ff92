/**
 * Listens for callers. Every request is checked here before the request task
 * sees it; whatever fails a check is answered at once and truthfully with
 * `notRun`, since nothing was dispatched.
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
const KEY_LIMIT_CHARACTERS = 512;

/** Codes of requests that no state of the system ever admits. */
const ALWAYS_REFUSED: ReadonlySet<RejectionCode> = new Set([
  "bodyInvalid",
  "bodyNotJson",
  "credentialMissing",
  "keyInvalid",
  "methodNotAllowed",
  "routeUnknown",
]);

/** Time after which a caller may try again when this entry is not ready. */
const NOT_READY_RETRY_MS = 1_000;

export interface AddressAnswer {
  readonly addresses: readonly string[];
  readonly validityMs: number;
  readonly ticket: string;
}

/** What the server asks of the entry. */
export interface CallerGate {
  /** Why no request can be taken now, or `undefined` if it can. */
  readRefusal(): RejectionCode | undefined;
  readConfig():
    | { readonly revision: number; readonly config: Config }
    | undefined;
  findContract(key: string): Contract | undefined;
  answerAddresses(contract: Contract): AddressAnswer;
  handle(request: CallerRequest, answer: CallerAnswer): void;
}

export interface CallerServerOptions {
  readonly entry: string;
  readonly host: string;
  readonly port: number;
  readonly gate: CallerGate;
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

  /** Resolves with the port that it listens on. */
  listen(): Promise<number> {
    return this.#server.listen();
  }

  /** Takes no new connections and waits for the requests under way. */
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
      return refuse(answer, checked, request.headers["idempotency-key"]);
    }
    if (checked.kind === "addresses") return sendJson(response, checked.value);
    this.#options.gate.handle({ ...checked.request, requestId }, answer);
  }

  async #check(request: IncomingMessage, path: string): Promise<Checked> {
    const { gate } = this.#options;
    const key = readBearerKey(request.headers.authorization);
    if (key === undefined) return "credentialMissing";
    const known = gate.readConfig();
    if (known === undefined) return "notReady";
    const contract = gate.findContract(key);
    if (contract === undefined) return "credentialUnknown";
    if (path === ADDRESSES_PATH) {
      if (request.method !== "GET") return "methodNotAllowed";
      return { kind: "addresses", value: gate.answerAddresses(contract) };
    }
    const refusal = gate.readRefusal();
    if (refusal !== undefined) return refusal;
    return await readRequest(request, { path, contract, known });
  }
}

type Checked =
  | RejectionCode
  | { readonly kind: "addresses"; readonly value: AddressAnswer }
  | {
    readonly kind: "request";
    readonly request: Omit<CallerRequest, "requestId">;
  };

interface RequestContext {
  readonly path: string;
  readonly contract: Contract;
  readonly known: { readonly revision: number; readonly config: Config };
}

async function readRequest(
  request: IncomingMessage,
  context: RequestContext,
): Promise<Checked> {
  const { config, revision } = context.known;
  const key = request.headers["idempotency-key"];
  if (typeof key === "string" && key.length > KEY_LIMIT_CHARACTERS) {
    return "keyInvalid";
  }
  const read = await readBody(request, config.bodyLimitBytes);
  if (read.kind === "tooLarge") return "bodyTooLarge";
  if (read.kind === "cut") return "bodyInvalid";
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

/** Nothing was dispatched; an earlier request under the same key may have been. */
function refuse(
  answer: CallerAnswer,
  code: RejectionCode,
  key: string | readonly string[] | undefined,
): void {
  const retryAfterMs = NOT_READY_RETRY_MS;
  const isProved = key === undefined || ALWAYS_REFUSED.has(code);
  answer.giveUp(
    isProved
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
