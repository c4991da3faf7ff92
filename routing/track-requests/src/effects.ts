/** Effects that the request tracker requests from its task. */

import type {
  AnsweredOutcome,
  FailedOutcome,
  OutcomeKind,
  UnknownOutcome,
} from "@dandelionbank/types";
import type { ProvenNotRun } from "./not_run.ts";

/** Outcome of a request, in which `notRun` requires a proof. */
export type ProvenOutcome =
  | AnsweredOutcome
  | FailedOutcome
  | UnknownOutcome
  | ProvenNotRun;

export type TrackEffect =
  | FindHome
  | PickTarget
  | Dispatch
  | RelayToHome
  | QueryAttempt
  | CancelAttempt
  | SendHead
  | SendData
  | SendEnd
  | SendOutcome
  | AttemptCrashed
  | FrameDropped
  | RequestEnded
  | Violation;

/** Look up the arbiter of the key and reply with `homeFound`. */
export interface FindHome {
  readonly type: "findHome";
  readonly requestId: string;
  readonly keyId: string;
  readonly homeIncarnation: string;
}

/** Choose a target and reply with `targetPicked` or `noTarget`. */
export interface PickTarget {
  readonly type: "pickTarget";
  readonly requestId: string;
  readonly organisation: string;
  readonly pool: string;
  readonly fingerprint: string;
  /** Targets that have been tried. */
  readonly avoid: readonly string[];
  /** Whether another attempt is still open. Suspect requests are not hedged. */
  readonly hedge: boolean;
}

/** Send the request to an agent as this attempt. */
export interface Dispatch {
  readonly type: "dispatch";
  readonly requestId: string;
  readonly attemptId: string;
  readonly target: string;
  readonly agentIncarnation: string;
  readonly timeLeftMs: number;
}

/** Relay the request to the entry that arbitrates its key. */
export interface RelayToHome {
  readonly type: "relayToHome";
  readonly requestId: string;
  readonly attemptId: string;
  readonly incarnation: string;
  readonly timeLeftMs: number;
  /** Numbers of earlier attempts of this request. */
  readonly supersedes: readonly number[];
}

/** Query the agent, on a new connection, for the state of the attempt. */
export interface QueryAttempt {
  readonly type: "queryAttempt";
  readonly requestId: string;
  readonly attemptId: string;
  readonly keyId: string | undefined;
  readonly fingerprint: string;
  readonly target: string;
  readonly agentIncarnation: string;
}

/** Cancel an attempt whose answer is no longer needed. */
export interface CancelAttempt {
  readonly type: "cancelAttempt";
  readonly attemptId: string;
  /** The target, or the home entry's incarnation. */
  readonly peer: string;
}

export interface SendHead {
  readonly type: "sendHead";
  readonly callerId: string;
  readonly status: number;
  readonly contentType: string;
  readonly encoding: "utf8" | "base64";
  /** Target that answers; absent if another entry arbitrates the key. */
  readonly target: string | undefined;
}

export interface SendData {
  readonly type: "sendData";
  readonly callerId: string;
  readonly data: string;
}

/** Complete the answer: the outcome is `answered`. */
export interface SendEnd {
  readonly type: "sendEnd";
  readonly callerId: string;
  readonly lengthBytes: number;
  readonly digest: string;
}

/** End the caller's request with an outcome other than a target's answer. */
export interface SendOutcome {
  readonly type: "sendOutcome";
  readonly callerId: string;
  readonly requestId: string;
  readonly outcome: FailedOutcome | UnknownOutcome | ProvenNotRun;
  /** Whether a head was already sent, so that the stream must end in an error. */
  readonly headSent: boolean;
}

/** A target or its process was lost while it ran this request. */
export interface AttemptCrashed {
  readonly type: "attemptCrashed";
  readonly attemptId: string;
  readonly requestId: string;
  readonly organisation: string;
  readonly fingerprint: string;
  readonly target: string;
}

/** A late, duplicate or out-of-order frame was dropped. */
export interface FrameDropped {
  readonly type: "frameDropped";
  readonly attemptId: string;
  readonly reason: "closedAttempt" | "gap" | "repeated" | "unknownAttempt";
}

/** The request has ended and its body may be released. */
export interface RequestEnded {
  readonly type: "requestEnded";
  readonly requestId: string;
  readonly outcome: OutcomeKind | "abandoned" | "merged";
  readonly target: string | undefined;
}

export interface Violation {
  readonly type: "violation";
  readonly invariant: string;
  readonly detail: string;
}
