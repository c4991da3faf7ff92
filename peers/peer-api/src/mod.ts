/** Calls between entries and agents other than attempts (`docs/protocols.md`). */

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
