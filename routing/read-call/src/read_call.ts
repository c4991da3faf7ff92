/**
 * Finds the pool for a call and what the call needs. A plain call that no route
 * of its pool names is taken to be not idempotent, unless its method is by
 * definition.
 */

import type { Config, PlainRoute, Pool } from "@dandelionbank/types";
import { readCompletion } from "./read_completion.ts";

const COMPLETIONS_PATH = "/v1/completions";
const SERVICES_PREFIX = "/services/";
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  "GET",
  "HEAD",
  "OPTIONS",
]);

export interface CallInput {
  readonly method: string;
  /** With the query, if there is one. */
  readonly path: string;
  readonly body: string;
  /** False if the caller asked that a completion run at most once. */
  readonly mayRepeat: boolean;
}

export interface Call {
  readonly pool: string;
  /** The path at the target. */
  readonly path: string;
  readonly idempotent: boolean;
  readonly isStream: boolean;
  /** Prompt and longest answer together; 0 for a plain call. */
  readonly estimatedTokens: number;
  /** Start of the prompt, by which engines with a warm cache are found. */
  readonly promptPrefix: string;
}

export type CallResult =
  | { readonly kind: "ok"; readonly call: Call }
  | { readonly kind: "invalid"; readonly code: CallErrorCode };

/** Why a call cannot be read. */
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
  if (withoutQuery(input.path) !== COMPLETIONS_PATH) {
    return wrong("routeUnknown");
  }
  if (input.method !== "POST") return wrong("methodNotAllowed");
  return readCompletion(input, config);
}

function readPlainCall(input: CallInput, config: Config): CallResult {
  const rest = input.path.slice(SERVICES_PREFIX.length);
  const nameLength = rest.search(/[/?]|$/);
  const pool = config.pools.find((each) =>
    each.kind === "plain" && each.name === rest.slice(0, nameLength)
  );
  if (pool === undefined) return wrong("poolUnknown");
  const path = asPath(rest.slice(nameLength));
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
    .filter((each) => matches(each, method, path))
    .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0];
  return route?.idempotent ?? IDEMPOTENT_METHODS.has(method);
}

function matches(route: PlainRoute, method: string, path: string): boolean {
  return route.method === method && path.startsWith(route.pathPrefix);
}

function asPath(rest: string): string {
  return rest.startsWith("/") ? rest : `/${rest}`;
}

function withoutQuery(path: string): string {
  return path.split("?", 1)[0] ?? path;
}

function wrong(code: CallErrorCode): CallResult {
  return { kind: "invalid", code };
}
