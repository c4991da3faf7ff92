/**
 * Keeps snapshots of a rank's choice counts (how often each expert was chosen),
 * so that a coordinator is sent only the difference from the snapshot that it
 * last received. After the engine has restarted or the group has re-formed, its
 * counts start from zero, and are sent whole.
 */

import type { ChoiceCounts } from "@dandelionbank/types";

/** Number of snapshots kept: this many replies in a row may be lost. */
const MAX_SNAPSHOTS = 6;

/** The choices made since an earlier snapshot. */
export interface ChoicesSince {
  /** Number of the new snapshot, to be named in the next request. */
  readonly snapshot: number;
  readonly epoch: number;
  readonly counts: readonly number[];
}

export class ChoiceSnapshots {
  readonly #snapshots = new Map<number, ChoiceCounts>();
  #lastSnapshot = 0;

  private constructor() {}

  static create(): ChoiceSnapshots {
    return new ChoiceSnapshots();
  }

  /**
   * Stores a snapshot and returns the counts since `sinceSnapshot`; all zero if
   * that snapshot is not known.
   */
  snapshotSince(choices: ChoiceCounts, sinceSnapshot: number): ChoicesSince {
    const base = this.#snapshots.get(sinceSnapshot);
    this.#lastSnapshot += 1;
    const snapshot = this.#lastSnapshot;
    this.#snapshots.set(snapshot, choices);
    this.#snapshots.delete(snapshot - MAX_SNAPSHOTS);
    const { epoch, counts } = choices;
    return { snapshot, epoch, counts: subtractCounts(counts, base) };
  }
}

function subtractCounts(
  counts: readonly number[],
  base: ChoiceCounts | undefined,
): readonly number[] {
  if (base === undefined) return counts.map(() => 0);
  const difference = counts.map((count, index) =>
    count - (base.counts[index] ?? 0)
  );
  // Counts decrease only when the engine has restarted.
  return difference.some((count) => count < 0) ? counts : difference;
}
