/**
 * Parses a caller's request into a call: its pool, and the properties that
 * routing needs. A plain call without a matching route in its pool counts as
 * idempotent only if its HTTP method is safe.
 */

import type { Config, PlainRoute, Pool } from "@dandelionbank/types";
import { readCompletion } from "./read_completion.ts";

const COMPLETIONS_PATH = "/v1/completions";
const SERVICES_PREFIX = "/services/";
const SAFE_METHODS: ReadonlySet<string> = new Set([
  "GET",
  "HEAD",
  "OPTIONS",
]);

export interface CallInput {
  readonly method: string;
  /** Request path, including the query. */
  readonly path: string;
  readonly body: string;
  /** False if the caller requires that a completion runs at most once. */
  readonly mayRepeat: boolean;
}

export interface Call {
  readonly pool: string;
  /** Path of the request at the target, including the query. */
  readonly path: string;
  readonly idempotent: boolean;
  readonly isStream: boolean;
  /** Tokens of the prompt and of the longest answer; 0 for a plain call. */
  readonly estimatedTokens: number;
  /** Start of the prompt; used to prefer engines that have it in their cache. */
  readonly promptPrefix: string;
}

export type CallResult =
  | { readonly kind: "ok"; readonly call: Call }
  | { readonly kind: "invalid"; readonly code: CallErrorCode };

/** Why a request is not a valid call; sent to the caller as the error code. */
export type CallErrorCode =
  | "bodyInvalid"
  | "bodyNotJson"
  | "methodNotAllowed"
  | "modelUnknown"
  | "poolUnknown"
  | "routeUnknown";

export function readCall(input: CallInput, config: Config): CallResult {
  if (input.path.startsWith(SERVICES_PREFIX)) {
    return readPlainCall(input, config);
  }
  if (stripQuery(input.path) !== COMPLETIONS_PATH) {
    return reject("routeUnknown");
  }
  if (input.method !== "POST") return reject("methodNotAllowed");
  return readCompletion(input, config);
}

function readPlainCall(input: CallInput, config: Config): CallResult {
  const rest = input.path.slice(SERVICES_PREFIX.length);
  const nameLength = rest.search(/[/?]|$/);
  const pool = config.pools.find((candidate) =>
    candidate.kind === "plain" && candidate.name === rest.slice(0, nameLength)
  );
  if (pool === undefined) return reject("poolUnknown");
  const path = ensureLeadingSlash(rest.slice(nameLength));
  return {
    kind: "ok",
    call: {
      pool: pool.name,
      path,
      idempotent: isIdempotent(pool, input.method, path),
      isStream: false,
      estimatedTokens: 0,
      promptPrefix: "",
    },
  };
}

function isIdempotent(pool: Pool, method: string, path: string): boolean {
  const route = pool.routes
    .filter((candidate) => matches(candidate, method, path))
    .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0];
  return route?.idempotent ?? SAFE_METHODS.has(method);
}

function matches(route: PlainRoute, method: string, path: string): boolean {
  return route.method === method && path.startsWith(route.pathPrefix);
}

function ensureLeadingSlash(rest: string): string {
  return rest.startsWith("/") ? rest : `/${rest}`;
}

function stripQuery(path: string): string {
  return path.split("?", 1)[0] ?? path;
}

function reject(code: CallErrorCode): CallResult {
  return { kind: "invalid", code };
}
