/** State, events and effects of the coordinator of a group's map switches. */

import type {
  MapProposal,
  RankIncarnation,
  Recipient,
  SettledMap,
  StatusMessage,
  SwitchMessage,
} from "./messages.ts";

export interface CoordinatorOptions {
  readonly group: string;
  readonly groupSize: number;
  /** From the conditional write that made this process the holder. */
  readonly fencingNumber: number;
  /** Number of steps between the latest known step and the first one under a proposed map. */
  readonly leadSteps: number;
  readonly resendIntervalMs: number;
  /** Timeout for all ranks to stage a map. */
  readonly stageTimeoutMs: number;
}

/** Queries the state of every rank, before anything is proposed. */
export interface QueryingPhase {
  readonly kind: "querying";
  readonly statuses: readonly (StatusMessage | null)[];
}

export interface IdlePhase {
  readonly kind: "idle";
}

export interface StagingPhase {
  readonly kind: "staging";
  readonly mapVersion: number;
  /** Step of each rank when it had staged the map; `null` until then. */
  readonly stagedAt: readonly (number | null)[];
  readonly startedAtMs: number;
}

/** Collects promises, then sends the outcome to all ranks. */
export interface VotingPhase {
  readonly kind: "voting";
  readonly proposal: MapProposal;
  /** Whether this coordinator made the proposal; one of an earlier coordinator is only settled. */
  readonly isOwnProposal: boolean;
  /** Incarnation that promised, by rank; 0 for none. */
  readonly promisedBy: readonly number[];
  readonly abortedBy?: RankIncarnation;
  /** The outcome that each rank confirmed. */
  readonly outcomes: readonly ("committed" | "aborted" | null)[];
}

export type CoordinatorPhase =
  | QueryingPhase
  | IdlePhase
  | StagingPhase
  | VotingPhase;

export interface CoordinatorState {
  readonly options: CoordinatorOptions;
  readonly phase: CoordinatorPhase;
  readonly current: SettledMap;
  /** Newest incarnation known, by rank; messages of older ones are ignored. */
  readonly incarnations: readonly number[];
  /** Versions used so far under this fencing number. */
  readonly versionCount: number;
  readonly resendAtMs: number;
}

export type CoordinatorEvent =
  | { readonly type: "message"; readonly message: SwitchMessage }
  | { readonly type: "tick" }
  /** The planner requests a new map; `mapPlanned` returns its version. */
  | { readonly type: "plan" }
  /** Abandons the staging, or cancels the proposal at ranks without a promise. */
  | { readonly type: "cancel" };

export type CoordinatorEffect =
  | {
    readonly type: "send";
    readonly to: Recipient;
    readonly message: SwitchMessage;
  }
  /** The requested map gets this version, and staging starts. */
  | { readonly type: "mapPlanned"; readonly mapVersion: number }
  /** The plan can't be accepted now. */
  | { readonly type: "planRefused"; readonly reason: PlanRefusal }
  /** Every rank has confirmed the outcome; a committed map should be recorded. */
  | {
    readonly type: "switchSettled";
    readonly map: SettledMap;
    readonly committed: boolean;
  };

/** `versionsUsedUp`: no map version is left under this fencing number. */
export type PlanRefusal = "busy" | "versionsUsedUp";
