/**
 * Clients of the routers. They go over the same kind of pool as everything
 * else: Node's own `fetch` would load a second HTTP client.
 */

import {
  type HttpConnector,
  HttpPool,
  readWhole,
} from "@dandelionbank/open-http";
import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import type { AgentRouter } from "./agent_router.ts";
import type { EntryRouter } from "./entry_router.ts";

export type AgentClient = TRPCClient<AgentRouter>;
export type EntryClient = TRPCClient<EntryRouter>;

export interface PeerClientOptions {
  readonly peerUrl: string;
  readonly peerSecret: string;
  readonly timeoutMs: number;
  readonly connector?: HttpConnector;
}

export function createAgentClient(options: PeerClientOptions): AgentClient {
  return createTRPCClient<AgentRouter>({ links: [createLink(options)] });
}

export function createEntryClient(options: PeerClientOptions): EntryClient {
  return createTRPCClient<EntryRouter>({ links: [createLink(options)] });
}

interface FetchInit {
  readonly method?: string;
  readonly headers?: unknown;
  readonly body?: unknown;
}

interface FetchAnswer {
  readonly ok: boolean;
  json(): Promise<unknown>;
}

function createLink(options: PeerClientOptions): ReturnType<typeof httpLink> {
  const pool = HttpPool.create({
    origin: options.peerUrl,
    connections: 1,
    ...(options.connector === undefined
      ? {}
      : { connector: options.connector }),
  });
  return httpLink({
    url: `${options.peerUrl}/trpc`,
    headers: { authorization: `Bearer ${options.peerSecret}` },
    fetch: (url, init) => fetchOver(pool, String(url), { init, options }),
  });
}

async function fetchOver(
  pool: HttpPool,
  url: string,
  context: {
    readonly init: FetchInit | undefined;
    readonly options: PeerClientOptions;
  },
): Promise<FetchAnswer> {
  const { init, options } = context;
  const answer = await readWhole(pool, {
    method: init?.method ?? "GET",
    path: url.slice(pool.origin.length),
    headers: init?.headers as Record<string, string>,
    ...(typeof init?.body === "string" ? { body: init.body } : {}),
  }, { timeoutMs: options.timeoutMs });
  return {
    ok: answer.status >= 200 && answer.status < 300,
    json: () => Promise.resolve(JSON.parse(answer.body.toString("utf8"))),
  };
}
