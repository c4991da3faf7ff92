/** Events, effects and options of the takeover of keys. */

import type { HomeReport } from "@dandelionbank/admit-attempts";
import type { KeyHome } from "@dandelionbank/track-requests";

export interface TakeOverOptions {
  /** The entry's own incarnation. */
  readonly incarnation: string;
  /** Maximum time for which an entry may assume that it is not closed. */
  readonly leaseMs: number;
  /** Timeout of one ask to an agent. */
  readonly askTimeoutMs: number;
  /** Time since the closing after which agents without an answer are unreachable. */
  readonly unreachableAfterMs: number;
  /** How long inherited keys are kept; longer than a ticket's validity. */
  readonly keyRetentionMs: number;
  /** Maximum number of concurrent asks per takeover. */
  readonly maxConcurrentAsks: number;
}

/** An agent incarnation as registered in the platform's store. */
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

/** The view was reloaded: changes before its revision are not known. */
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

/** Every change of agents up to this revision was passed in by an event. */
export interface RevisionReached {
  readonly type: "revisionReached";
  readonly revision: number;
}

export interface EntriesChanged {
  readonly type: "entriesChanged";
  /** Incarnations of the entries that are registered and respond. */
  readonly incarnations: readonly string[];
}

export interface ClosingObserved {
  readonly type: "closingObserved";
  readonly incarnation: string;
  /** Incarnation of the entry that arbitrates its keys. */
  readonly successor: string;
}

/** This entry's own incarnation is known not to be closed before `untilMs`. */
export interface OwnLeaseRenewed {
  readonly type: "ownLeaseRenewed";
  readonly untilMs: number;
}

/** An entry's incarnation is gone or does not respond. */
export interface EntryLost {
  readonly type: "entryLost";
  readonly incarnation: string;
}

/** This entry's closing of the incarnation has taken effect. */
export interface ClosingWritten {
  readonly type: "closingWritten";
  readonly incarnation: string;
}

/** The agents in the store, read after the closing and not from a replica. */
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

/** Read the agents from the store, not from a replica. */
export interface ListAgents {
  readonly type: "listAgents";
  readonly incarnation: string;
}

/** Ask an agent for the keys under the tickets of these incarnations. */
export interface AskKeys {
  readonly type: "askKeys";
  readonly askId: string;
  readonly target: string;
  readonly agentIncarnation: string;
  readonly incarnations: readonly string[];
}

/** Every agent has answered, counts as unreachable or was replaced. */
export interface TakeoverCompleted {
  readonly type: "takeoverCompleted";
  readonly incarnation: string;
  readonly heldKeys: number;
  readonly unreachableAgents: number;
  readonly elapsedMs: number;
}

/** A key whose arbiter is looked up. */
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

/** `pending`: the takeover of the key is not complete. */
export type HomeLookup = KeyHome | { readonly kind: "pending" };
