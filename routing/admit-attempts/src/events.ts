/** Events, effects and options of the admission. */

import type { AttemptHead } from "@dandelionbank/types";

export interface AdmitOptions {
  /** The agent's own incarnation. */
  readonly incarnation: string;
  readonly maxInFlight: number;
  /** Maximum number of keys of calls that must run at most once. */
  readonly maxKeys: number;
  /** Maximum total size of the kept answers, in bytes. */
  readonly maxKeptBytes: number;
  /** How long the key of a call that must run at most once is kept after its end. */
  readonly keyRetentionMs: number;
  /**
   * How long any other record is kept after its end, and how long an idempotent
   * call without a key runs without a listener.
   */
  readonly lingerMs: number;
  /** Delay before a retry after a refusal for lack of capacity. */
  readonly retryAfterMs: number;
}

/**
 * Why the agent refused an attempt. A refusal guarantees that the attempt never
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
  | "targetPaused"
  | "tooLate";

/** Why the agent has no answer, although the call may have run. */
export type FailureCode =
  | "answerNotKept"
  | "attemptForgotten"
  | "earlierAttemptFailed"
  | "incarnationClosed"
  | "wrongIncarnation";

/** Why the agent accepts no new attempts. */
export type StopReason = "plannedStop" | "terminationSignal" | "leavingList";

/**
 * State of a key at the agent. `kept` and `dropped` refer to the answer of a call
 * that was answered.
 */
export type KeyStanding = "running" | "kept" | "dropped" | "failed";

export type AdmitEvent =
  | ClosingsRead
  | IncarnationClosed
  | AttemptArrived
  | AttemptQueried
  | AnswerBegan
  | RunEnded
  | RunFailed
  | ListenerDisconnected
  | StopBegan
  | StopWithdrawn
  | KeysRequested
  | Tick;

/**
 * Lists the closings in the platform's store, read after this agent registered
 * there. Until then, every attempt is refused.
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
   * Digest of the organisation and the key. Present if and only if the head has
   * a key.
   */
  readonly keyId?: string;
  /** The agent incarnation that the entry addressed. */
  readonly agentIncarnation: string;
  /** Whether the call is suspected of crashing its target; one runs at a time. */
  readonly suspect?: boolean;
}

/**
 * An entry queries the state of an attempt on a new connection. An attempt that
 * has not arrived is refused from then on.
 */
export interface AttemptQueried {
  readonly type: "attemptQueried";
  readonly attemptId: string;
  readonly keyId?: string;
  readonly fingerprint: string;
  readonly agentIncarnation: string;
}

/** The head of the target's answer has arrived. */
export interface AnswerBegan {
  readonly type: "answerBegan";
  readonly attemptId: string;
  /** Time for which the target wants no calls, if it named one. */
  readonly pauseMs?: number;
}

/** The target completed its answer. */
export interface RunEnded {
  readonly type: "runEnded";
  readonly attemptId: string;
  readonly answerBytes: number;
}

/** The target failed without a complete answer. */
export interface RunFailed {
  readonly type: "runFailed";
  readonly attemptId: string;
  readonly mayHaveRun: boolean;
}

/** The connection of an attempt that ran or joined was closed. */
export interface ListenerDisconnected {
  readonly type: "listenerDisconnected";
  readonly attemptId: string;
  /** The attempt whose frames were sent on the connection. */
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

/** The successor of closed incarnations requests the keys under their tickets. */
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

/** Start the call and send its frames to the attempt. */
export interface Run {
  readonly type: "run";
  readonly attemptId: string;
}

/** Send the attempt the frames of a running one, starting with the first. */
export interface Join {
  readonly type: "join";
  readonly attemptId: string;
  readonly answeredBy: string;
}

/** Send the attempt the kept frames of an ended one. */
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

/** Fail the attempt: its call may have run, and the answer is not available. */
export interface Fail {
  readonly type: "fail";
  readonly attemptId: string;
  readonly code: FailureCode;
}

/** Drop the kept answer of this attempt. */
export interface Evict {
  readonly type: "evict";
  readonly attemptId: string;
}

/** Cancel a call that no one waits for. Its end must still be reported by an event. */
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
   * Keys under tickets issued up to this time may have been evicted; -1 if none
   * was.
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

/** A stop has begun and no call is running. */
export interface Drained {
  readonly type: "drained";
}

export interface Violation {
  readonly type: "violation";
  readonly invariant: string;
  readonly detail: string;
}
