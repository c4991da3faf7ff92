/**
 * Keeps the last looks at a rank's counts, so that a coordinator is told only
 * what was chosen since the look that it has. Counts that start anew, with the
 * engine or the group, are told whole.
 */

import type { ChoiceCounts } from "@dandelionbank/types";

/** Replies that are lost in a row before the whole counts are told again. */
const MAX_LOOKS = 6;

export interface ChoicesSince {
  readonly look: number;
  readonly epoch: number;
  readonly counts: readonly number[];
}

export class ChoiceLooks {
  readonly #looks = new Map<number, ChoiceCounts>();
  #lastLook = 0;

  private constructor() {}

  static create(): ChoiceLooks {
    return new ChoiceLooks();
  }

  /** What was chosen since `sinceLook`; nothing if that look is not known. */
  take(choices: ChoiceCounts, sinceLook: number): ChoicesSince {
    const before = this.#looks.get(sinceLook);
    this.#lastLook += 1;
    const look = this.#lastLook;
    this.#looks.set(look, choices);
    this.#looks.delete(look - MAX_LOOKS);
    const { epoch, counts } = choices;
    return { look, epoch, counts: subtract(counts, before) };
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
