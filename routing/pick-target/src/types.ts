/** What placement is told and what it decides. */

import type { TargetLoad } from "@dandelionbank/types";

/** A target's state as far as placement is concerned. */
export type PlacementState = "open" | "suspected" | "closed";

/** A target as membership shows it. */
export interface PlacementTarget {
  readonly name: string;
  readonly pool: string;
  /** A closed target is stopped or leaving; a suspected one is a last resort. */
  readonly state: PlacementState;
}

export type PlacementEvent =
  | PickRequested
  | TargetReplied
  | LoadReported
  | TargetLost
  | TargetsChanged
  | PolicyChanged;

/** Asks for a target; the pick counts as in flight until it is replied or lost. */
export interface PickRequested {
  readonly type: "pickRequested";
  readonly attemptId: string;
  readonly pool: string;
  /** Targets that were tried for this request already. */
  readonly exclude: readonly string[];
  /** Hash of the prompt's prefix, as an unsigned 32-bit number. */
  readonly prefixHash?: number;
}

/** An attempt ended with the agent's word. */
export interface TargetReplied {
  readonly type: "targetReplied";
  readonly attemptId: string;
  readonly load?: TargetLoad;
  /** Set when the agent refused the attempt: for how long it will refuse more. */
  readonly refusedForMs?: number;
}

/** A load that came otherwise than with an attempt's end. */
export interface LoadReported {
  readonly type: "loadReported";
  readonly target: string;
  readonly load: TargetLoad;
}

/** An attempt ended without the agent's word. */
export interface TargetLost {
  readonly type: "targetLost";
  readonly attemptId: string;
}

/** The whole list of targets, in place of the one before. */
export interface TargetsChanged {
  readonly type: "targetsChanged";
  readonly targets: readonly PlacementTarget[];
}

/** Names the policy from now on; picks under way are kept. */
export interface PolicyChanged {
  readonly type: "policyChanged";
  readonly policy: string;
}

export type PlacementEffect =
  | TargetPicked
  | PickRefused
  | PlacementInvariantViolated;

export interface TargetPicked {
  readonly type: "picked";
  readonly attemptId: string;
  readonly target: string;
}

export type PickRefusalCode =
  | "DANDELIONBANK_POOL_EMPTY"
  | "DANDELIONBANK_POOL_BUSY"
  | "DANDELIONBANK_TARGETS_EXHAUSTED";

/** Nothing can serve now; `retryAfterMs` says when something may. */
export interface PickRefused {
  readonly type: "refused";
  readonly attemptId: string;
  readonly code: PickRefusalCode;
  readonly retryAfterMs: number;
}

/** Becomes the log event `invariantViolated`. */
export interface PlacementInvariantViolated {
  readonly type: "invariantViolated";
  readonly invariant: string;
  readonly detail: string;
}
