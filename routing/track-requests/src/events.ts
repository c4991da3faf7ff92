/** What the ledger of requests takes in. */

import type { AttemptFrame, Outcome } from "@dandelionbank/types";

export interface TrackOptions {
  /** The entry's own incarnation. */
  readonly incarnation: string;
  /** Longest silence of an attempt before it is asked about. */
  readonly progressTimeoutMs: number;
  /** Silence of a first attempt after which a second one is started, if any. */
  readonly hedgeAfterMs: number | undefined;
  /** Most attempts of one request. */
  readonly maxAttempts: number;
  /** Retries and hedges that each request adds to the budget. */
  readonly retryRatio: number;
  /** Most retries and hedges that the budget holds. */
  readonly retryBurst: number;
  /** When a caller may come back, if nothing better is known. */
  readonly retryAfterMs: number;
  /** Most keys that this entry arbitrates at a time. */
  readonly maxKeys: number;
  /** Most bytes of kept answers. */
  readonly maxKeptBytes: number;
  readonly createDigest: () => IncrementalDigest;
}

/** SHA-256 and length of a body that arrives in parts. */
export interface IncrementalDigest {
  add(data: string, encoding: "utf8" | "base64"): void;
  readonly lengthBytes: number;
  /** In hexadecimal; called once, at the end. */
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

/** A request's key and what its ticket says. */
export interface KeyInfo {
  /** Stands for organisation and key together: a digest of both. */
  readonly keyId: string;
  readonly homeIncarnation: string;
}

/** A request that another entry passed on, because its home is here. */
export interface RelayInfo {
  readonly entryIncarnation: string;
  /** Number of the relaying entry's attempt. */
  readonly number: number;
  /** Earlier numbers of the same request, which count no longer. */
  readonly supersedes: readonly number[];
}

export interface IncomingRequest {
  readonly requestId: string;
  readonly organisation: string;
  readonly pool: string;
  /** Digest of organisation, operation and body. */
  readonly fingerprint: string;
  readonly idempotent: boolean;
  /** Whether a cut answer may be started again and compared with what was sent. */
  readonly resumable: boolean;
  readonly timeLeftMs: number;
  readonly key?: KeyInfo;
  readonly relay?: RelayInfo;
}

export interface RequestArrived {
  readonly type: "requestArrived";
  /** Names the waiting connection; never used twice. */
  readonly callerId: string;
  readonly request: IncomingRequest;
}

/** Who arbitrates a key, and what a takeover found out about it. */
export type KeyHome =
  | { readonly kind: "local"; readonly expiresAtMs: number }
  | { readonly kind: "remote"; readonly incarnation: string }
  /** The home does not answer and is not closed yet. */
  | { readonly kind: "unreachable" }
  /** Inherited; no agent has taken the key. */
  | { readonly kind: "free"; readonly expiresAtMs: number }
  /** Inherited; this agent has taken the key. */
  | {
    readonly kind: "held";
    readonly target: string;
    readonly agentIncarnation: string;
    readonly expiresAtMs: number;
  }
  /** Inherited; some agent that cannot be asked may have taken the key. */
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

/** The home's outcome of a request that was passed to it. */
export interface OutcomeFrame {
  readonly type: "outcome";
  readonly attemptId: string;
  readonly outcome: Outcome;
}

export interface FrameArrived {
  readonly type: "frameArrived";
  readonly frame: AttemptFrame | OutcomeFrame;
}

/** Certainly nothing of the attempt's head left this process. */
export interface DispatchFailed {
  readonly type: "dispatchFailed";
  readonly attemptId: string;
}

/** The attempt's connection ended, or could not be made for asking. */
export interface ConnectionLost {
  readonly type: "connectionLost";
  readonly attemptId: string;
}

/** This incarnation of an agent is gone for good. */
export interface AgentLost {
  readonly type: "agentLost";
  readonly target: string;
  readonly agentIncarnation: string;
}

/** No successor runs a key of this entry before that time. */
export interface ArbiterLeaseRenewed {
  readonly type: "arbiterLeaseRenewed";
  readonly untilMs: number;
}

/** This entry's incarnation was closed: another one arbitrates its keys. */
export interface ArbiterClosed {
  readonly type: "arbiterClosed";
}

/** The configuration's timing, in place of that before. */
export interface TimingChanged {
  readonly type: "timingChanged";
  readonly progressTimeoutMs: number;
  readonly hedgeAfterMs: number | undefined;
}

export interface Tick {
  readonly type: "tick";
}

/** Why a request was given up on. */
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
