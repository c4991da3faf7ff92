/** Tasks by which an entry monitors agents and other entries. */

export { AgentFollower } from "./agent_follower.ts";
export { EntryFollower } from "./entry_follower.ts";
export { MemberTask } from "./member_task.ts";
export { pickByRendezvousHash } from "./rendezvous_hash.ts";
export type { PeerAccess } from "./peer_access.ts";
