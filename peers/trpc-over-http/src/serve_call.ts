/**
 * Serves a call of a tRPC router on a Node HTTP request. tRPC's own adapters
 * convert each request to the classes of `fetch`, which loads a second HTTP
 * client and web streams into memory. Calls between peers need neither: each
 * sends one JSON value and receives one.
 */

import { ByteCollector } from "@dandelionbank/collect-bytes";
import {
  type AnyRouter,
  callTRPCProcedure,
  getTRPCErrorFromUnknown,
  getTRPCErrorShape,
  TRPCError,
} from "@trpc/server";
import type { IncomingMessage, ServerResponse } from "node:http";

/** Allows for views, which list every closing of an incarnation and can grow. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;
const INTERNAL_ERROR_STATUS = 500;

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
  /** Part of the path before the procedure's name. */
  readonly pathPrefix: string;
}

/** Resolves when the response has been written; never rejects. */
export async function serveCall(
  request: IncomingMessage,
  response: ServerResponse,
  options: ServeCallOptions,
): Promise<void> {
  const { status, body } = await handleCall(request, options);
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

async function handleCall(
  request: IncomingMessage,
  options: ServeCallOptions,
): Promise<PeerReply> {
  const { router, pathPrefix } = options;
  const type = request.method === "POST" ? "mutation" : "query";
  let path = "";
  try {
    const url = parseTarget(request.url ?? "/");
    path = url.pathname.slice(pathPrefix.length);
    const text = type === "query"
      ? url.searchParams.get("input") ?? ""
      : await readBody(request);
    const call: PeerCall = { type, path, input: parseInput(text) };
    return {
      status: 200,
      body: { result: { data: await callProcedure(router, call) } },
    };
  } catch (cause) {
    return describeError(router, { cause, type, path });
  }
}

function parseTarget(target: string): URL {
  try {
    return new URL(target, "http://peer");
  } catch (cause) {
    throw new TRPCError({ code: "BAD_REQUEST", cause });
  }
}

function callProcedure(router: AnyRouter, call: PeerCall): Promise<unknown> {
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
    status: shape.data?.httpStatus ?? INTERNAL_ERROR_STATUS,
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
  const collector = ByteCollector.create({ expectedBytes: MAX_BODY_BYTES });
  for await (const chunk of request as AsyncIterable<Buffer>) {
    if (collector.lengthBytes + chunk.length > MAX_BODY_BYTES) {
      throw new TRPCError({ code: "PAYLOAD_TOO_LARGE" });
    }
    collector.add(chunk);
  }
  return collector.take().toString("utf8");
}
