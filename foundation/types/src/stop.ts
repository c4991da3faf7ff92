/** A planned stop of a target. */

export interface PlannedStop {
  readonly target: string;
  readonly reason: string;
  readonly requestedBy: string;
}
