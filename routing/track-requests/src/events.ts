/** Events and options of the request tracker. */

import type { AttemptFrame, Outcome } from "@dandelionbank/types";

export interface TrackOptions {
  /** The entry's own incarnation. */
  readonly incarnation: string;
  /** Time without a frame after which the agent is queried for an attempt. */
  readonly progressTimeoutMs: number;
  /** Age of the first attempt at which a hedge starts; `undefined` for none. */
  readonly hedgeAfterMs: number | undefined;
  /** Maximum number of attempts per request. */
  readonly maxAttempts: number;
  /** Retries and hedges that each request adds to the retry budget. */
  readonly retryRatio: number;
  /** Maximum size of the retry budget. */
  readonly retryBurst: number;
  /** Default delay after which a caller may retry. */
  readonly retryAfterMs: number;
  /** Maximum number of keys that this entry arbitrates at a time. */
  readonly maxKeys: number;
  /** Maximum total size of the kept answers, in bytes. */
  readonly maxKeptBytes: number;
  readonly createDigest: () => IncrementalDigest;
}

/** Computes the SHA-256 digest and the length of a body from its chunks. */
export interface IncrementalDigest {
  add(data: string, encoding: "utf8" | "base64"): void;
  readonly lengthBytes: number;
  /** Returns the digest in hexadecimal; must be called only once. */
  finish(): string;
}

export type TrackEvent =
  | RequestArrived
  | HomeFound
  | CallerDisconnected
  | TargetPicked
  | NoTarget
  | FrameArrived
  | DispatchFailed
  | ConnectionLost
  | AgentLost
  | ArbiterLeaseRenewed
  | ArbiterClosed
  | TimingChanged
  | Tick;

/** A request's key and the home entry named by its ticket. */
export interface KeyInfo {
  /** Digest of the organisation and the key. */
  readonly keyId: string;
  readonly homeIncarnation: string;
}

/** Origin of a request that another entry relayed to this one, its home. */
export interface RelayInfo {
  readonly entryIncarnation: string;
  /** Attempt number at the relaying entry. */
  readonly number: number;
  /** Numbers of earlier attempts of the request, which this one replaces. */
  readonly supersedes: readonly number[];
}

export interface IncomingRequest {
  readonly requestId: string;
  readonly organisation: string;
  readonly pool: string;
  /** Digest of organisation, method, path and body. */
  readonly fingerprint: string;
  readonly idempotent: boolean;
  /**
   * Whether an interrupted answer may be restarted, compared with what was
   * already sent, and continued.
   */
  readonly resumable: boolean;
  readonly timeLeftMs: number;
  readonly key?: KeyInfo;
  readonly relay?: RelayInfo;
}

export interface RequestArrived {
  readonly type: "requestArrived";
  /** Identifies the waiting connection; never reused. */
  readonly callerId: string;
  readonly request: IncomingRequest;
}

/**
 * The arbiter of a key: `here` is this entry, `elsewhere` another one. `free`,
 * `held` and `unknown` apply to keys that this entry inherited by a takeover.
 */
export type KeyHome =
  | { readonly kind: "here"; readonly expiresAtMs: number }
  | { readonly kind: "elsewhere"; readonly incarnation: string }
  /** The home entry does not answer and is not closed yet. */
  | { readonly kind: "lost" }
  /** Inherited; no agent has accepted the key. */
  | { readonly kind: "free"; readonly expiresAtMs: number }
  /** Inherited; this agent has accepted the key. */
  | {
    readonly kind: "held";
    readonly target: string;
    readonly agentIncarnation: string;
    readonly expiresAtMs: number;
  }
  /** Inherited; an agent that is unreachable or gone may have accepted the key. */
  | { readonly kind: "unknown"; readonly expiresAtMs: number };

export interface HomeFound {
  readonly type: "homeFound";
  readonly requestId: string;
  readonly home: KeyHome;
}

export interface CallerDisconnected {
  readonly type: "callerDisconnected";
  readonly callerId: string;
}

export interface TargetPicked {
  readonly type: "targetPicked";
  readonly requestId: string;
  readonly target: string;
  readonly agentIncarnation: string;
}

export interface NoTarget {
  readonly type: "noTarget";
  readonly requestId: string;
  readonly code: UnansweredCode;
  readonly retryAfterMs: number;
}

/** The home entry's outcome of a request that was relayed to it. */
export interface OutcomeFrame {
  readonly type: "outcome";
  readonly attemptId: string;
  readonly outcome: Outcome;
}

export interface FrameArrived {
  readonly type: "frameArrived";
  readonly frame: AttemptFrame | OutcomeFrame;
}

/** The dispatch failed before any byte of the attempt's head was sent. */
export interface DispatchFailed {
  readonly type: "dispatchFailed";
  readonly attemptId: string;
}

/** The attempt's connection closed, or the one for a query could not be opened. */
export interface ConnectionLost {
  readonly type: "connectionLost";
  readonly attemptId: string;
}

/** An agent's incarnation was replaced or removed. */
export interface AgentLost {
  readonly type: "agentLost";
  readonly target: string;
  readonly agentIncarnation: string;
}

/** No successor runs one of this entry's keys before `untilMs`. */
export interface ArbiterLeaseRenewed {
  readonly type: "arbiterLeaseRenewed";
  readonly untilMs: number;
}

/** This entry's incarnation was closed: its successor arbitrates its keys. */
export interface ArbiterClosed {
  readonly type: "arbiterClosed";
}

/** The timing options were reconfigured. */
export interface TimingChanged {
  readonly type: "timingChanged";
  readonly progressTimeoutMs: number;
  readonly hedgeAfterMs: number | undefined;
}

export interface Tick {
  readonly type: "tick";
}

/** Why a request ended without a complete answer. */
export type UnansweredCode =
  | "answerCut"
  | "answerDiffers"
  | "answerNotKept"
  | "arbiterUnsure"
  | "attemptLost"
  | "concurrencyLimited"
  | "deadlineExceeded"
  | "homeUnreachable"
  | "invariantViolated"
  | "keyReused"
  | "noTarget"
  | "organisationUnknown"
  | "overloaded"
  | "quarantined"
  | "rateLimited"
  | "tableFull"
  | "targetFailed"
  | "ticketExpired"
  | "tokensLimited";
