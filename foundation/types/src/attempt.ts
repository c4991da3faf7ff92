/**
 * The messages of one attempt at a request: what an entry sends to an agent or
 * to the home entry of a key (the entry that owns the key and alone dispatches its
 * requests), and the frames that come back.
 */

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
  /** Time remaining for the complete answer when the head was sent. */
  readonly timeLeftMs: number;
  /** Revision of the view under which the request was admitted. */
  readonly viewRevision: number;
}

/** Asks an agent to run a request. The caller's body follows. */
export interface AttemptMessage {
  readonly kind: "attempt";
  /** Incarnation of the agent that is addressed. */
  readonly agentIncarnation: string;
  /**
   * Whether the request is suspected of crashing targets. An agent runs one
   * suspect request at a time.
   */
  readonly suspect: boolean;
  readonly head: AttemptHead;
}

/** Relays a request to the home entry of its key. The caller's body follows. */
export interface RelayMessage {
  readonly kind: "relay";
  readonly homeIncarnation: string;
  readonly pool: string;
  readonly resumable: boolean;
  readonly estimatedTokens: number;
  /** Numbers of the relaying entry's earlier attempts at the same request. */
  readonly supersedes: readonly number[];
  readonly head: AttemptHead;
}

/**
 * Queries an agent about the outcome of an attempt. If the attempt has not
 * arrived by then, the agent refuses it from then on.
 */
export interface AttemptQuery {
  readonly kind: "question";
  readonly agentIncarnation: string;
  readonly attemptId: string;
  readonly organisation: string;
  readonly fingerprint: string;
  readonly key?: string;
}

/** A frame that an agent sends for an attempt. The frames arrive in order. */
export type AttemptFrame =
  | AttemptAdmitted
  | AttemptRefused
  | AttemptAnswerHead
  | AttemptData
  | AttemptHeartbeat
  | AttemptEnd
  | AttemptFailed;

/** The agent admitted the attempt: from now on it may run. */
export interface AttemptAdmitted {
  readonly type: "admitted";
  readonly attemptId: string;
  /**
   * The attempt whose answer follows: another one if this attempt repeats a
   * request that the agent already ran or is running.
   */
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
  /** Starts at 0 and has no gaps. */
  readonly sequence: number;
  readonly data: string;
}

/** Shows that the connection and the attempt are alive while no data is sent. */
export interface AttemptHeartbeat {
  readonly type: "heartbeat";
  readonly attemptId: string;
}

/** The answer is complete. */
export interface AttemptEnd {
  readonly type: "end";
  readonly attemptId: string;
  readonly lengthBytes: number;
  /** SHA-256 of the body, in hexadecimal. */
  readonly digest: string;
  readonly load: TargetLoad;
}

/** The attempt ended at the target without a complete answer. */
export interface AttemptFailed {
  readonly type: "failed";
  readonly attemptId: string;
  readonly code: string;
  /** Whether the target may have started the call. */
  readonly mayHaveRun: boolean;
  readonly load: TargetLoad;
}

/** The outcome that a home entry reports for a request relayed to it. */
export interface RelayOutcome {
  readonly type: "outcome";
  readonly attemptId: string;
  readonly outcome: Outcome;
}

/** The first line of the request body that a peer sends to `/attempts`. */
export type PeerMessage = AttemptMessage | AttemptQuery | RelayMessage;

/** One line of the response from `/attempts`. */
export type PeerFrame = AttemptFrame | RelayOutcome;
