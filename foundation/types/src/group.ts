/** What a rank of a group tells of itself and what a group's map holds. */

/** Experts by layer set and rank: `[set][rank]` lists the experts held there. */
export type ExpertMap = readonly (readonly (readonly number[])[])[];

/** A rank's own state, as of some hundred ms ago unless read beside the rank. */
export interface RankReport {
  readonly group: string;
  /** Rises whenever the group forms anew; everything set before is gone. */
  readonly epoch: number;
  readonly rank: number;
  readonly groupSize: number;
  readonly isOpen: boolean;
  /** The last pass that was begun. */
  readonly step: number;
  /** Version of the map in force; 0 is the one a group starts with. */
  readonly mapVersion: number;
  /** Latest version whose experts have all been copied; 0 if none. */
  readonly preparedVersion: number;
  /** Version that a coming pass switches to; 0 if none. */
  readonly armedVersion: number;
  /** The pass that the rank holds back; undefined if none. */
  readonly heldStep: number | undefined;
  /** Over 1 for a slow rank. */
  readonly pace: number;
}

/** How often a rank's requests chose each expert since it started. */
export interface ChoiceCounts {
  readonly epoch: number;
  /** Set after set. */
  readonly counts: readonly number[];
}

/** The experts that one rank holds, by set. */
export interface HeldExperts {
  readonly epoch: number;
  readonly version: number;
  readonly sets: readonly (readonly number[])[];
}

/** An order to one rank. */
export type GroupOrder =
  /** Copies the experts that are new to the rank. */
  | {
    readonly kind: "prepare";
    readonly version: number;
    readonly map: ExpertMap;
  }
  /** Switches to a prepared version as the pass begins. */
  | { readonly kind: "arm"; readonly version: number; readonly step: number }
  /** Keeps the whole group from beginning the pass. */
  | { readonly kind: "hold"; readonly step: number }
  /** Ends the hold of the pass. */
  | { readonly kind: "release"; readonly step: number };

export type GroupOrderResult =
  | "done"
  /** The rank's state does not fit the order. */
  | "conflict"
  | "invalid"
  /** No answer: the order may be carried out later, after newer ones. */
  | "lost";

/** What a rank's agent knows of the orders that it passed on. */
export interface OrderForwardingState {
  /** True if an order to arm may still be carried out, unknown to anyone. */
  readonly mayArmLate: boolean;
  /** Rank of the coordinator whose order the agent passed on last. */
  readonly orderedByRank: number | undefined;
}
