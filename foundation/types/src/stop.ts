/** Planned stops of targets. */

/** An operator's request that a target finishes its work and accepts no more. */
export interface PlannedStop {
  readonly target: string;
  readonly reason: string;
  readonly requestedBy: string;
}
