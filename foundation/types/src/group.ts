/**
 * State of a lockstep group of ranks, and the orders by which its coordinator
 * switches the group from one expert map to the next.
 *
 * A switch has two parts: every rank first prepares the new version by copying
 * the experts that it lacks, then the ranks are armed to switch at the same pass
 * of the model. A hold keeps the group from starting a pass before all are armed.
 * A field `step` is the number of a pass.
 */

/** Placement of experts: `[set][rank]` lists the experts of a layer set on a rank. */
export type ExpertMap = readonly (readonly (readonly number[])[])[];

/**
 * The state that a rank reports. It is some hundred milliseconds old unless it
 * is read on the rank's own VM.
 */
export interface RankReport {
  readonly group: string;
  /** Increases whenever the group forms anew, which discards all its state. */
  readonly epoch: number;
  readonly rank: number;
  readonly groupSize: number;
  /** Whether the rank reports the state `open`; a complete group has only such ranks. */
  readonly isOpen: boolean;
  /** The last pass that was started. */
  readonly step: number;
  /** Version of the map in force; 0 is the map that a group starts with. */
  readonly mapVersion: number;
  /** Latest version whose experts have all been copied to the rank; 0 if none. */
  readonly preparedVersion: number;
  /** Version that the rank will switch to at a coming pass; 0 if none. */
  readonly armedVersion: number;
  /** The pass that the rank must not start yet; undefined if none. */
  readonly heldStep: number | undefined;
  /** Relative duration of the rank's passes; above 1 for a slow rank. */
  readonly pace: number;
}

/** How often the requests of a rank have chosen each expert since it started. */
export interface ChoiceCounts {
  readonly epoch: number;
  /** Counts of all experts of the first layer set, then of the next, and so on. */
  readonly counts: readonly number[];
}

/** The experts that one rank holds, by layer set. */
export interface HeldExperts {
  readonly epoch: number;
  readonly version: number;
  readonly sets: readonly (readonly number[])[];
}

/** An order that the group's coordinator sends to one rank. */
export type GroupOrder =
  /** Copies the experts of the new version that the rank lacks. */
  | {
    readonly kind: "prepare";
    readonly version: number;
    readonly map: ExpertMap;
  }
  /** Switches to a prepared version when the pass starts. */
  | { readonly kind: "arm"; readonly version: number; readonly step: number }
  /** Keeps the whole group from starting the pass. */
  | { readonly kind: "hold"; readonly step: number }
  /** Ends the hold on the pass. */
  | { readonly kind: "release"; readonly step: number }
  /**
   * Prepares the map in force under a new version, after which the rank can no
   * longer be armed with an earlier one.
   */
  | {
    readonly kind: "supersede";
    readonly version: number;
    readonly map: ExpertMap;
  }
  /** Takes back an armed version, which stays prepared. */
  | { readonly kind: "disarm"; readonly version: number };

/** An order that carries a map. */
export type MapOrder = Extract<GroupOrder, { readonly map: ExpertMap }>;

export type GroupOrderResult =
  | "done"
  /** The rank's state does not allow the order. */
  | "conflict"
  | "invalid"
  /** No answer: the order may still be carried out, even after newer ones. */
  | "lost";

/** What a rank's agent knows about the orders that it forwarded to its engine. */
export interface OrderForwardingState {
  /**
   * Whether an order to arm that was not answered may still be carried out
   * unnoticed.
   */
  readonly mayArmLate: boolean;
  /**
   * Rank of the coordinator whose order the agent forwarded last; undefined if
   * that order reverts a switch of another coordinator.
   */
  readonly orderedByRank: number | undefined;
}
