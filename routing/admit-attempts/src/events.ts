/** What the agent's admission takes in and what it asks to be done. */

import type { AttemptHead } from "@dandelionbank/types";

export interface AdmitOptions {
  /** The agent's own incarnation. */
  readonly incarnation: string;
  readonly maxInFlight: number;
  /** Most keys of calls that may not be repeated. */
  readonly maxKeys: number;
  /** Most bytes of kept answers. */
  readonly maxKeptBytes: number;
  /** How long a key is remembered after its attempt ended. */
  readonly keyRetentionMs: number;
  /** How long any other answer is kept, and an attempt runs with no listener. */
  readonly lingerMs: number;
  /** When to come back after a refusal for lack of room. */
  readonly retryAfterMs: number;
}

/**
 * Why the agent refused an attempt. Each is its word that the attempt never
 * ran and never will.
 */
export type RefusalCode =
  | "agentStarting"
  | "agentStopping"
  | "attemptSettled"
  | "badAttemptId"
  | "incarnationClosed"
  | "invariantViolated"
  | "keyReused"
  | "neverArrived"
  | "suspectRunning"
  | "tableFull"
  | "targetBusy"
  | "tooLate";

/** Why the agent cannot give an answer, although the call may have run. */
export type FailureCode =
  | "answerNotKept"
  | "attemptForgotten"
  | "earlierAttemptFailed"
  | "incarnationClosed"
  | "wrongIncarnation";

/** Why the agent takes no new work. */
export type StopReason = "plannedStop" | "terminationSignal" | "leavingList";

/** What the agent knows of a key. */
export type KeyStanding = "running" | "kept" | "dropped" | "failed";

export type AdmitEvent =
  | ClosingsRead
  | IncarnationClosed
  | AttemptArrived
  | AttemptQueried
  | RunEnded
  | RunFailed
  | ListenerDisconnected
  | StopBegan
  | StopWithdrawn
  | KeysRequested
  | Tick;

/**
 * Every closing that was in the platform's store after this agent registered
 * there. No attempt is taken before.
 */
export interface ClosingsRead {
  readonly type: "closingsRead";
  readonly incarnations: readonly string[];
}

export interface IncarnationClosed {
  readonly type: "incarnationClosed";
  readonly incarnation: string;
}

export interface AttemptArrived {
  readonly type: "attemptArrived";
  readonly head: AttemptHead;
  /**
   * Stands for organisation and key together: a digest of both. Given if and
   * only if the head has a key.
   */
  readonly keyId?: string;
  /** The incarnation of this agent that the entry meant. */
  readonly agentIncarnation: string;
  /** Whether the call may crash the target: one such call runs at a time. */
  readonly suspect?: boolean;
}

/**
 * An entry asks what became of an attempt, on a new connection. If the attempt
 * never arrived, it is refused from then on.
 */
export interface AttemptQueried {
  readonly type: "attemptQueried";
  readonly attemptId: string;
  readonly keyId?: string;
  readonly fingerprint: string;
  readonly agentIncarnation: string;
}

/** The target gave its whole answer. */
export interface RunEnded {
  readonly type: "runEnded";
  readonly attemptId: string;
  readonly answerBytes: number;
}

/** The target ended without a whole answer. */
export interface RunFailed {
  readonly type: "runFailed";
  readonly attemptId: string;
  readonly mayHaveRun: boolean;
}

/** The connection of an attempt that ran or joined is gone. */
export interface ListenerDisconnected {
  readonly type: "listenerDisconnected";
  readonly attemptId: string;
  /** The attempt that it listened to. */
  readonly answeredBy: string;
}

export interface StopBegan {
  readonly type: "stopBegan";
  readonly reason: StopReason;
}

export interface StopWithdrawn {
  readonly type: "stopWithdrawn";
  readonly reason: StopReason;
}

/** The successor of closed incarnations asks for the keys made under them. */
export interface KeysRequested {
  readonly type: "keysRequested";
  readonly askId: string;
  readonly incarnations: readonly string[];
}

export interface Tick {
  readonly type: "tick";
}

export type AdmitEffect =
  | Run
  | Join
  | Replay
  | Refuse
  | Fail
  | Evict
  | Cancel
  | AnswerKeys
  | Drained
  | Violation;

/** Start the call, and answer the attempt with its frames. */
export interface Run {
  readonly type: "run";
  readonly attemptId: string;
}

/** Answer the attempt with the frames of a running one, from the first. */
export interface Join {
  readonly type: "join";
  readonly attemptId: string;
  readonly answeredBy: string;
}

/** Answer the attempt with the kept frames of an ended one. */
export interface Replay {
  readonly type: "replay";
  readonly attemptId: string;
  readonly answeredBy: string;
}

export interface Refuse {
  readonly type: "refuse";
  readonly attemptId: string;
  readonly code: RefusalCode;
  readonly retryAfterMs: number;
}

/** Answer with a failure: the call may have run, and its answer is not here. */
export interface Fail {
  readonly type: "fail";
  readonly attemptId: string;
  readonly code: FailureCode;
}

/** The kept answer of this attempt is no longer needed. */
export interface Evict {
  readonly type: "evict";
  readonly attemptId: string;
}

/** Nobody waits for this call any longer. Its end is still reported. */
export interface Cancel {
  readonly type: "cancel";
  readonly attemptId: string;
}

export interface KeyReport {
  readonly keyId: string;
  readonly standing: KeyStanding;
}

export interface HomeReport {
  readonly incarnation: string;
  /**
   * Keys under tickets issued up to then may have been here and forgotten;
   * -1 if none was.
   */
  readonly forgottenIssuedAtMs: number;
  readonly keys: readonly KeyReport[];
}

export interface AnswerKeys {
  readonly type: "answerKeys";
  readonly askId: string;
  readonly agentIncarnation: string;
  readonly homes: readonly HomeReport[];
}

/** A stop began, and nothing runs any longer. */
export interface Drained {
  readonly type: "drained";
}

export interface Violation {
  readonly type: "violation";
  readonly invariant: string;
  readonly detail: string;
}
