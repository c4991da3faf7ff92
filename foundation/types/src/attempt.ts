/** One attempt at a request: what an entry sends an agent, and what comes back. */

import type { Outcome } from "./outcome.ts";
import type { TargetLoad } from "./target.ts";

/** The head of an attempt. Its body follows as bytes. */
export interface AttemptHead {
  readonly attemptId: string;
  readonly requestId: string;
  readonly organisation: string;
  /** The caller's request key, if it gave one. */
  readonly key?: string;
  /** Digest of organisation, operation and body. */
  readonly fingerprint: string;
  readonly entry: string;
  readonly entryIncarnation: string;
  readonly idempotent: boolean;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly priority: number;
  /** Time left for the whole answer when the head was sent. */
  readonly timeLeftMs: number;
  /** Revision of the view under which the request was admitted. */
  readonly viewRevision: number;
}

/** Asks an agent to run a request. The caller's body follows. */
export interface AttemptMessage {
  readonly kind: "attempt";
  /** Incarnation of the agent that the entry means. */
  readonly agentIncarnation: string;
  /** Whether the call may crash the target: one such call runs at a time. */
  readonly suspect: boolean;
  readonly head: AttemptHead;
}

/** Passes a request to the entry that arbitrates its key. The body follows. */
export interface RelayMessage {
  readonly kind: "relay";
  readonly homeIncarnation: string;
  readonly pool: string;
  readonly resumable: boolean;
  readonly estimatedTokens: number;
  /** Numbers of the relaying entry's earlier attempts of the same request. */
  readonly supersedes: readonly number[];
  readonly head: AttemptHead;
}

/**
 * Asks an agent what became of an attempt. One that never arrived is refused
 * from then on.
 */
export interface AttemptQuery {
  readonly kind: "question";
  readonly agentIncarnation: string;
  readonly attemptId: string;
  readonly organisation: string;
  readonly fingerprint: string;
  readonly key?: string;
}

/** What an agent sends back for an attempt, in order. */
export type AttemptFrame =
  | AttemptAdmitted
  | AttemptRefused
  | AttemptAnswerHead
  | AttemptData
  | AttemptHeartbeat
  | AttemptEnd
  | AttemptFailed;

/** The agent took the attempt: from here on it may run. */
export interface AttemptAdmitted {
  readonly type: "admitted";
  readonly attemptId: string;
  /** The attempt whose answer follows, if a repeat joined one. */
  readonly answeredBy: string;
}

/** The agent refused the attempt: it never ran and never will. */
export interface AttemptRefused {
  readonly type: "refused";
  readonly attemptId: string;
  readonly code: string;
  readonly retryAfterMs: number;
  readonly load: TargetLoad;
}

export interface AttemptAnswerHead {
  readonly type: "head";
  readonly attemptId: string;
  readonly status: number;
  readonly contentType: string;
  /** How the data frames carry the body's bytes. */
  readonly encoding: "utf8" | "base64";
}

export interface AttemptData {
  readonly type: "data";
  readonly attemptId: string;
  /** From 0, without gaps. */
  readonly sequence: number;
  readonly data: string;
}

/** Shows that the connection and the attempt are alive. */
export interface AttemptHeartbeat {
  readonly type: "heartbeat";
  readonly attemptId: string;
}

/** The answer is whole. */
export interface AttemptEnd {
  readonly type: "end";
  readonly attemptId: string;
  readonly lengthBytes: number;
  /** SHA-256 of the body, in hexadecimal. */
  readonly digest: string;
  readonly load: TargetLoad;
}

/** The target ended the attempt without a whole answer. */
export interface AttemptFailed {
  readonly type: "failed";
  readonly attemptId: string;
  readonly code: string;
  /** Whether the target may have begun the call. */
  readonly mayHaveRun: boolean;
  readonly load: TargetLoad;
}

/** The home entry's outcome of a request that was passed to it. */
export interface RelayOutcome {
  readonly type: "outcome";
  readonly attemptId: string;
  readonly outcome: Outcome;
}

/** The first line of what a peer sends to `/attempts`. */
export type PeerMessage = AttemptMessage | AttemptQuery | RelayMessage;

/** A line of what comes back. */
export type PeerFrame = AttemptFrame | RelayOutcome;
