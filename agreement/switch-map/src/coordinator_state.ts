/** State, events and effects of the core that plans the switches of a group. */

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
  /** Steps between a proposal and the first step under the new map. */
  readonly leadSteps: number;
  readonly resendIntervalMs: number;
  /** Longest wait for all ranks to stage a map. */
  readonly stageTimeoutMs: number;
}

/** Asks every rank what is settled, before anything is proposed. */
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
  /** Step of each rank when it had staged the map; `null` before. */
  readonly stagedAt: readonly (number | null)[];
  readonly startedAtMs: number;
}

/** Collects promises, then tells all ranks the outcome. */
export interface VotingPhase {
  readonly kind: "voting";
  readonly proposal: MapProposal;
  /** Whether this coordinator made the proposal; another's is only settled. */
  readonly own: boolean;
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
  /** Newest incarnation heard of, by rank; what older ones say is left out. */
  readonly incarnations: readonly number[];
  /** Versions used so far under this fencing number. */
  readonly versionCount: number;
  readonly resendAtMs: number;
}

export type CoordinatorEvent =
  | { readonly type: "message"; readonly message: SwitchMessage }
  | { readonly type: "tick" }
  /** The planner wants a new map; its version is given by `mapPlanned`. */
  | { readonly type: "plan" }
  | { readonly type: "cancel" };

export type CoordinatorEffect =
  | {
    readonly type: "send";
    readonly to: Recipient;
    readonly message: SwitchMessage;
  }
  /** The map that was asked for is staged under this version. */
  | { readonly type: "mapPlanned"; readonly mapVersion: number }
  /** A plan can't be taken now. */
  | { readonly type: "planRefused"; readonly reason: PlanRefusal }
  /** Every rank knows the outcome; a committed map belongs into the record. */
  | {
    readonly type: "switchSettled";
    readonly map: SettledMap;
    readonly committed: boolean;
  };

export type PlanRefusal = "busy" | "versionsUsedUp";
