/**
 * Calls between entries (which accept callers' requests) and agents (which run
 * beside a target and execute attempts), other than the attempts themselves. See
 * `docs/protocols.md`.
 */

export { createAgentRouter } from "./agent_router.ts";
export type { AgentHandlers, AgentRouter } from "./agent_router.ts";
export { createEntryRouter } from "./entry_router.ts";
export type { EntryHandlers, EntryPing, EntryRouter } from "./entry_router.ts";
export { createAgentClient, createEntryClient } from "./peer_client.ts";
export type {
  AgentClient,
  EntryClient,
  PeerClientOptions,
} from "./peer_client.ts";
