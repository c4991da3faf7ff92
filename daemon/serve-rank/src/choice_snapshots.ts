/**
 * Keeps snapshots of a rank's counts, so that a coordinator is told only
 * what was chosen since the one that it has. Counts that start anew, with the
 * engine or the group, are told whole.
 */

import type { ChoiceCounts } from "@dandelionbank/types";

/** Replies that are lost in a row before the whole counts are told again. */
const MAX_SNAPSHOTS = 6;

export interface ChoicesSince {
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

  /** What was chosen since `sinceSnapshot`; nothing if that snapshot is not known. */
  snapshotSince(choices: ChoiceCounts, sinceSnapshot: number): ChoicesSince {
    const before = this.#snapshots.get(sinceSnapshot);
    this.#lastSnapshot += 1;
    const snapshot = this.#lastSnapshot;
    this.#snapshots.set(snapshot, choices);
    this.#snapshots.delete(snapshot - MAX_SNAPSHOTS);
    const { epoch, counts } = choices;
    return { snapshot, epoch, counts: subtract(counts, before) };
  }
}

function subtract(
  counts: readonly number[],
  before: ChoiceCounts | undefined,
): readonly number[] {
  if (before === undefined) return counts.map(() => 0);
  const since = counts.map((count, index) =>
    count - (before.counts[index] ?? 0)
  );
  // Lower counts are those of an engine that has started again.
  return since.some((count) => count < 0) ? counts : since;
}
