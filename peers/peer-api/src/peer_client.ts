/** Clients of the agent's and the entry's router. */

import { type HttpConnector, HttpPool } from "@dandelionbank/open-http";
import { createPeerLink } from "@dandelionbank/trpc-over-http";
import { createTRPCClient, type TRPCClient } from "@trpc/client";
import type { AgentRouter } from "./agent_router.ts";
import type { EntryRouter } from "./entry_router.ts";

type PeerLink = ReturnType<typeof createPeerLink>;

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

function createLink(options: PeerClientOptions): PeerLink {
  const { peerUrl, peerSecret, timeoutMs, connector } = options;
  const pool = HttpPool.create({
    origin: peerUrl,
    connections: 1,
    ...(connector === undefined ? {} : { connector }),
  });
  return createPeerLink({
    pool,
    path: "/trpc",
    timeoutMs,
    headers: { authorization: `Bearer ${peerSecret}` },
  });
}
