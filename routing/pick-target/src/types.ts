/** Events and effects of target placement. */

import type { TargetLoad } from "@dandelionbank/types";

/** State of a target for placement. */
export type TargetPlacementState = "open" | "suspected" | "closed";

/** A target as reported by membership. */
export interface PlacementTarget {
  readonly name: string;
  readonly pool: string;
  /** Closed targets are stopped or leaving; suspected ones are a last resort. */
  readonly state: TargetPlacementState;
}

/** What targets have announced about the requests that they take. */
export interface SendLimits {
  /** True if the target takes no new requests any more. */
  isLeaving(target: string): boolean;
  /** Time until the target may get another request; may be infinite. */
  readDelayMs(target: string, nowMs: number): number;
  /** Requests allowed per millisecond; undefined if the target has no limit. */
  readSharePerMs(target: string): number | undefined;
  recordSend(target: string, nowMs: number): void;
}

export type PlacementEvent =
  | PickRequested
  | TargetReplied
  | LoadReported
  | TargetLost
  | TargetsChanged
  | PolicyChanged;

/**
 * Requests a target for an attempt. The attempt counts as in flight until
 * `targetReplied` or `targetLost`.
 */
export interface PickRequested {
  readonly type: "pickRequested";
  readonly attemptId: string;
  readonly pool: string;
  /** Targets that this request has already tried. */
  readonly exclude: readonly string[];
  /** Hash of the prompt's prefix, as an unsigned 32-bit number. */
  readonly prefixHash?: number;
}

/** An attempt ended with a reply of the agent. */
export interface TargetReplied {
  readonly type: "targetReplied";
  readonly attemptId: string;
  readonly load?: TargetLoad;
  /** Set if the agent refused the attempt: how long it will go on refusing. */
  readonly refusedForMs?: number;
}

/** A load report that did not come with the end of an attempt. */
export interface LoadReported {
  readonly type: "loadReported";
  readonly target: string;
  readonly load: TargetLoad;
}

/** An attempt ended without a reply of the agent. */
export interface TargetLost {
  readonly type: "targetLost";
  readonly attemptId: string;
}

/** The complete list of targets; replaces the previous one. */
export interface TargetsChanged {
  readonly type: "targetsChanged";
  readonly targets: readonly PlacementTarget[];
}

/** Sets the placement policy; attempts in flight are not affected. */
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

/** No target is available; one may be after `retryAfterMs`. */
export interface PickRefused {
  readonly type: "refused";
  readonly attemptId: string;
  readonly code: PickRefusalCode;
  readonly retryAfterMs: number;
}

/** Logged as `invariantViolated`. */
export interface PlacementInvariantViolated {
  readonly type: "invariantViolated";
  readonly invariant: string;
  readonly detail: string;
}
