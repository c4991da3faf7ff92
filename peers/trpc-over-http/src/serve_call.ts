/**
 * Serves one call of a tRPC router over Node's own requests. tRPC's adapters
 * turn each into the classes of `fetch`, which brings a second HTTP client and
 * web streams into memory; peers send one JSON value and get one.
 */

import {
  type AnyRouter,
  callTRPCProcedure,
  getTRPCErrorFromUnknown,
  getTRPCErrorShape,
  TRPCError,
} from "@trpc/server";
import type { IncomingMessage, ServerResponse } from "node:http";

/** Views name every closing, so they may grow. */
const BODY_LIMIT_BYTES = 4 * 1024 * 1024;
const STATUS_FAILED = 500;

interface PeerCall {
  readonly type: "query" | "mutation";
  readonly path: string;
  readonly input: unknown;
}

interface PeerReply {
  readonly status: number;
  readonly body: unknown;
}

export interface ServeCallOptions {
  readonly router: AnyRouter;
  /** What stands before the procedure's name in the path. */
  readonly pathPrefix: string;
}

/** Resolves when the reply is written; never rejects. */
export async function serveCall(
  request: IncomingMessage,
  response: ServerResponse,
  options: ServeCallOptions,
): Promise<void> {
  const { status, body } = await answer(request, options);
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

async function answer(
  request: IncomingMessage,
  options: ServeCallOptions,
): Promise<PeerReply> {
  const { router, pathPrefix } = options;
  const url = new URL(request.url ?? "/", "http://peer");
  const path = url.pathname.slice(pathPrefix.length);
  const type = request.method === "POST" ? "mutation" : "query";
  try {
    const text = type === "query"
      ? url.searchParams.get("input") ?? ""
      : await readBody(request);
    const call: PeerCall = { type, path, input: parseInput(text) };
    return { status: 200, body: { result: { data: await run(router, call) } } };
  } catch (cause) {
    return describeError(router, { cause, type, path });
  }
}

function run(router: AnyRouter, call: PeerCall): Promise<unknown> {
  return callTRPCProcedure({
    router,
    path: call.path,
    type: call.type,
    ctx: {},
    getRawInput: () => Promise.resolve(call.input),
    signal: undefined,
    batchIndex: 0,
  });
}

function describeError(
  router: AnyRouter,
  failed: {
    readonly cause: unknown;
    readonly type: "query" | "mutation";
    readonly path: string;
  },
): PeerReply {
  const shape = getTRPCErrorShape({
    config: router._def._config,
    error: getTRPCErrorFromUnknown(failed.cause),
    type: failed.type,
    path: failed.path,
    input: undefined,
    ctx: undefined,
  }) as { readonly data?: { readonly httpStatus?: number } };
  return {
    status: shape.data?.httpStatus ?? STATUS_FAILED,
    body: { error: shape },
  };
}

function parseInput(text: string): unknown {
  if (text === "") return undefined;
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new TRPCError({ code: "PARSE_ERROR", cause });
  }
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    sizeBytes += chunk.length;
    if (sizeBytes > BODY_LIMIT_BYTES) {
      throw new TRPCError({ code: "PAYLOAD_TOO_LARGE" });
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}
