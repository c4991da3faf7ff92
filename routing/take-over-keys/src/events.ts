/** What the takeover of keys takes in and what it asks to be done. */

import type { HomeReport } from "@dandelionbank/admit-attempts";
import type { KeyHome } from "@dandelionbank/track-requests";

export interface TakeOverOptions {
  /** The entry's own incarnation. */
  readonly incarnation: string;
  /** Longest time that an entry trusts not to have been closed. */
  readonly leaseMs: number;
  /** Longest wait for one agent's answer. */
  readonly askTimeoutMs: number;
  /** When agents that did not answer count as unreachable. */
  readonly unreachableAfterMs: number;
  /** How long inherited keys are answered for: a ticket's validity and more. */
  readonly keyRetentionMs: number;
  /** Most asks under way at a time. */
  readonly maxConcurrentAsks: number;
}

/** An incarnation of an agent, as it stands in the platform's store. */
export interface RegisteredAgent {
  readonly target: string;
  readonly pool: string;
  readonly incarnation: string;
}

export type TakeOverEvent =
  | ViewReset
  | AgentChanged
  | AgentRemoved
  | RevisionReached
  | EntriesChanged
  | ClosingObserved
  | OwnLeaseRenewed
  | EntryLost
  | ClosingWritten
  | AgentsListed
  | KeysReported
  | KeysAskFailed
  | Tick;

/** The view was read anew: what happened before its revision is not known. */
export interface ViewReset {
  readonly type: "viewReset";
  readonly revision: number;
  readonly agents: readonly RegisteredAgent[];
}

export interface AgentChanged {
  readonly type: "agentChanged";
  readonly agent: RegisteredAgent;
  readonly revision: number;
}

export interface AgentRemoved {
  readonly type: "agentRemoved";
  readonly target: string;
  readonly revision: number;
}

/** Every change up to this revision has been seen. */
export interface RevisionReached {
  readonly type: "revisionReached";
  readonly revision: number;
}

export interface EntriesChanged {
  readonly type: "entriesChanged";
  /** Incarnations of the entries that are registered and answer. */
  readonly incarnations: readonly string[];
}

export interface ClosingObserved {
  readonly type: "closingObserved";
  readonly incarnation: string;
  /** Incarnation of the entry that answers for its keys. */
  readonly successor: string;
}

/** This entry's own incarnation is known not to be closed until that time. */
export interface OwnLeaseRenewed {
  readonly type: "ownLeaseRenewed";
  readonly untilMs: number;
}

/** An entry's incarnation is gone, or does not answer. */
export interface EntryLost {
  readonly type: "entryLost";
  readonly incarnation: string;
}

/** This entry's closing of the incarnation has taken effect. */
export interface ClosingWritten {
  readonly type: "closingWritten";
  readonly incarnation: string;
}

/** The agents in the store, read after the closing, and not from a copy. */
export interface AgentsListed {
  readonly type: "agentsListed";
  readonly incarnation: string;
  readonly revision: number;
  readonly agents: readonly RegisteredAgent[];
}

export interface KeysReported {
  readonly type: "keysReported";
  readonly askId: string;
  readonly agentIncarnation: string;
  readonly homes: readonly HomeReport[];
}

export interface KeysAskFailed {
  readonly type: "keysAskFailed";
  readonly askId: string;
}

export interface Tick {
  readonly type: "tick";
}

export type TakeOverEffect =
  | WriteClosing
  | ListAgents
  | AskKeys
  | TakeoverCompleted;

/** Close the incarnation by a conditional write that names this entry. */
export interface WriteClosing {
  readonly type: "writeClosing";
  readonly incarnation: string;
  readonly successor: string;
}

/** Read the agents from the store, not from a copy. */
export interface ListAgents {
  readonly type: "listAgents";
  readonly incarnation: string;
}

/** Ask an agent for the keys under tickets of these incarnations. */
export interface AskKeys {
  readonly type: "askKeys";
  readonly askId: string;
  readonly target: string;
  readonly agentIncarnation: string;
  readonly incarnations: readonly string[];
}

/** Every agent has answered or counts as unreachable. */
export interface TakeoverCompleted {
  readonly type: "takeoverCompleted";
  readonly incarnation: string;
  readonly heldKeys: number;
  readonly unreachableAgents: number;
  readonly elapsedMs: number;
}

/** A key whose arbiter is sought. */
export interface HomeQuery {
  readonly keyId: string;
  readonly pool: string;
  readonly ticket: {
    readonly incarnation: string;
    readonly revision: number;
    readonly issuedAtMs: number;
    readonly expiresAtMs: number;
  };
}

/** `pending`: this entry is still finding out. */
export type HomeLookup = KeyHome | { readonly kind: "pending" };
