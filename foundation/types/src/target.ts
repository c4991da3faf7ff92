/** Targets: the back ends that agents stand in front of. */

/** Kind of a target: one rank of a lockstep group, a model engine or a plain service. */
export type TargetKind = "rank" | "engine" | "plain";

/** A rank's place in its group. */
export interface RankPlace {
  readonly group: string;
  readonly rank: number;
  readonly groupSize: number;
}

/** One target, as its agent registers it. */
export interface Target {
  readonly name: string;
  readonly kind: TargetKind;
  readonly pool: string;
  readonly dataCentre: string;
  readonly place?: RankPlace;
}

/** The load of a target, which its agent reports with every reply. */
export interface TargetLoad {
  readonly inFlight: number;
  readonly queued: number;
  /** Tokens held in the key-value cache. */
  readonly cachedTokens: number;
}
