/** What the ledger of requests asks to be done. */

import type {
  AnsweredOutcome,
  FailedOutcome,
  OutcomeKind,
  UnknownOutcome,
} from "@dandelionbank/types";
import type { ProvenNotRun } from "./not_run.ts";

/** How a request ended, with `notRun` only from proof. */
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

/** Find out who arbitrates the key, and answer with `homeFound`. */
export interface FindHome {
  readonly type: "findHome";
  readonly requestId: string;
  readonly keyId: string;
  readonly homeIncarnation: string;
}

/** Choose a target, and answer with `targetPicked` or `noTarget`. */
export interface PickTarget {
  readonly type: "pickTarget";
  readonly requestId: string;
  readonly organisation: string;
  readonly pool: string;
  readonly fingerprint: string;
  /** Targets that were tried. */
  readonly avoid: readonly string[];
  /** Whether another attempt is still open: a suspect gets no second one. */
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

/** Send the request to the entry that arbitrates its key. */
export interface RelayToHome {
  readonly type: "relayToHome";
  readonly requestId: string;
  readonly attemptId: string;
  readonly incarnation: string;
  readonly timeLeftMs: number;
  /** Earlier attempts of this request, by number. */
  readonly supersedes: readonly number[];
}

/** Ask the agent, on a new connection, what became of the attempt. */
export interface QueryAttempt {
  readonly type: "queryAttempt";
  readonly requestId: string;
  readonly attemptId: string;
  readonly keyId: string | undefined;
  readonly fingerprint: string;
  readonly target: string;
  readonly agentIncarnation: string;
}

/** Nobody waits for the attempt's answer any longer. */
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
  /** Where the request ran; absent if another entry arbitrates its key. */
  readonly target: string | undefined;
}

export interface SendData {
  readonly type: "sendData";
  readonly callerId: string;
  readonly data: string;
}

/** The answer is whole: the outcome is `answered`. */
export interface SendEnd {
  readonly type: "sendEnd";
  readonly callerId: string;
  readonly lengthBytes: number;
  readonly digest: string;
}

/** End the caller's request with an outcome that is not the target's answer. */
export interface SendOutcome {
  readonly type: "sendOutcome";
  readonly callerId: string;
  readonly requestId: string;
  readonly outcome: FailedOutcome | UnknownOutcome | ProvenNotRun;
  /** Whether part of an answer went out: the stream must end in an error. */
  readonly headSent: boolean;
}

/** A target was lost, or lost its process, while it ran this request. */
export interface AttemptCrashed {
  readonly type: "attemptCrashed";
  readonly attemptId: string;
  readonly requestId: string;
  readonly organisation: string;
  readonly fingerprint: string;
  readonly target: string;
}

/** A late, doubled or crossed frame was not passed on. */
export interface FrameDropped {
  readonly type: "frameDropped";
  readonly attemptId: string;
  readonly reason: "closedAttempt" | "gap" | "repeated" | "unknownAttempt";
}

/** The request is over and its body may be released. */
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
