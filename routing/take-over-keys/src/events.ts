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
  readonly decideAfterMs: number;
  /** How long inherited keys are answered for: a ticket's validity and more. */
  readonly keyLifeMs: number;
  /** Most asks under way at a time. */
  readonly maxAsks: number;
}

/** An incarnation of an agent, as it stands in the platform's store. */
export interface AgentSighting {
  readonly target: string;
  readonly pool: string;
  readonly incarnation: string;
}

export type TakeOverEvent =
  | ViewBegan
  | AgentChanged
  | AgentRemoved
  | ViewReached
  | EntriesChanged
  | ClosingSeen
  | OwnConfirmed
  | EntryLost
  | ClosingWritten
  | AgentsListed
  | KeysAnswered
  | KeysUnanswered
  | Tick;

/** The view was read anew: what happened before its revision is not known. */
export interface ViewBegan {
  readonly type: "viewBegan";
  readonly revision: number;
  readonly agents: readonly AgentSighting[];
}

export interface AgentChanged {
  readonly type: "agentChanged";
  readonly agent: AgentSighting;
  readonly revision: number;
}

export interface AgentRemoved {
  readonly type: "agentRemoved";
  readonly target: string;
  readonly revision: number;
}

/** Every change up to this revision has been seen. */
export interface ViewReached {
  readonly type: "viewReached";
  readonly revision: number;
}

export interface EntriesChanged {
  readonly type: "entriesChanged";
  /** Incarnations of the entries that are registered and answer. */
  readonly incarnations: readonly string[];
}

export interface ClosingSeen {
  readonly type: "closingSeen";
  readonly incarnation: string;
  /** Incarnation of the entry that answers for its keys. */
  readonly successor: string;
}

/** This entry's own incarnation is known not to be closed until that time. */
export interface OwnConfirmed {
  readonly type: "ownConfirmed";
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
  readonly agents: readonly AgentSighting[];
}

export interface KeysAnswered {
  readonly type: "keysAnswered";
  readonly askId: string;
  readonly agentIncarnation: string;
  readonly homes: readonly HomeReport[];
}

export interface KeysUnanswered {
  readonly type: "keysUnanswered";
  readonly askId: string;
}

export interface Tick {
  readonly type: "tick";
}

export type TakeOverEffect = WriteClosing | ListAgents | AskKeys | TookOver;

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
export interface TookOver {
  readonly type: "tookOver";
  readonly incarnation: string;
  readonly heldKeys: number;
  readonly unreachableAgents: number;
  readonly elapsedMs: number;
}

/** A key whose arbiter is sought. */
export interface HomeQuestion {
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
export type FoundHome = KeyHome | { readonly kind: "pending" };
