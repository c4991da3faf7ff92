/** State, events and effects of a rank's agent. All plain data. */

import type {
  MapProposal,
  RankEvidence,
  RankIncarnation,
  Recipient,
  SettledMap,
  SettledMaps,
  StatusMessage,
  SwitchMessage,
} from "./messages.ts";

export interface RankOptions {
  readonly group: string;
  readonly self: RankIncarnation;
  readonly groupSize: number;
  /**
   * Incarnation by rank, from a read of the registrations after the agent's own
   * was written; 0 for none.
   */
  readonly roster: readonly number[];
  /** The group's maps as recorded on the platform. */
  readonly recorded: SettledMaps;
  /** Read from the rank after its next step was held; a new rank has no map. */
  readonly evidence: RankEvidence;
  /** Interval between repeated requests to peers. */
  readonly askIntervalMs: number;
}

/** A proposal that this agent has promised or is about to promise. */
export interface OpenProposal {
  readonly proposal: MapProposal;
  /** Whether the rank has confirmed the hold at the proposal's step. */
  readonly promised: boolean;
  /** Incarnation that promised, by rank; 0 for none. */
  readonly promisedBy: readonly number[];
  /** Recipients that wait for the vote. */
  readonly askedBy: readonly Recipient[];
  readonly askAtMs: number;
  /** Number of rounds of requests; each round asks twice as many peers. */
  readonly rounds: number;
}

/** Answers that an agent collects before it serves. */
export interface JoinState {
  readonly round: number;
  readonly answers: readonly (StatusMessage | null)[];
  readonly askAtMs: number;
}

export interface RankState extends SettledMaps {
  readonly group: string;
  readonly self: RankIncarnation;
  readonly groupSize: number;
  /** Used until the agent serves. */
  readonly evidence: RankEvidence;
  readonly askIntervalMs: number;
  /** Newest incarnation known, by rank. */
  readonly incarnations: readonly number[];
  /** Absent once the agent serves. */
  readonly join?: JoinState;
  readonly fencingFloor: number;
  readonly open?: OpenProposal;
  /** Maps that the rank has yet to switch to, in this order. */
  readonly switching: readonly SettledMap[];
  readonly closedVersion: number;
  /** Whether a newer incarnation of this rank exists; this one then sends nothing more. */
  readonly superseded: boolean;
  readonly stagedVersions: readonly number[];
  /** Stage orders without an answer yet. */
  readonly stagingFor: readonly StagingOrder[];
  /** The last step that the rank began. */
  readonly step: number;
  /** The step at which the rank is held; -1 for none. */
  readonly heldStep: number;
}

export interface StagingOrder {
  readonly mapVersion: number;
  readonly fencingNumber: number;
}

export type RankEvent =
  | { readonly type: "message"; readonly message: SwitchMessage }
  | { readonly type: "tick" }
  /** The answer to `holdStep`: false if the rank had begun the step. */
  | { readonly type: "stepHeld"; readonly step: number; readonly held: boolean }
  | { readonly type: "mapStaged"; readonly mapVersion: number }
  /** The answer to `switchMap`. */
  | { readonly type: "mapSwitched"; readonly mapVersion: number }
  | {
    readonly type: "stepStarted";
    readonly step: number;
    readonly mapVersion: number;
  };

export type InvariantName =
  | "oneMapPerStep"
  | "oneOutcomePerProposal"
  | "noStepBeforeOutcome";

export type RankEffect =
  | {
    readonly type: "send";
    readonly to: Recipient;
    readonly message: SwitchMessage;
  }
  /** Keeps the rank from beginning this or any later step; replaces an earlier hold. */
  | { readonly type: "holdStep"; readonly step: number }
  | { readonly type: "releaseStep"; readonly step: number }
  | { readonly type: "stageMap"; readonly mapVersion: number }
  /** Switches the rank to the map; replaces any order for the same or a later step. */
  | {
    readonly type: "switchMap";
    readonly mapVersion: number;
    readonly fromStep: number;
  }
  | {
    readonly type: "settled";
    readonly mapVersion: number;
    readonly fromStep: number;
    readonly committed: boolean;
  }
  /** A newer incarnation exists, so this process should exit. */
  | { readonly type: "superseded" }
  | {
    readonly type: "invariantViolated";
    readonly invariant: InvariantName;
    readonly detail: string;
  };
