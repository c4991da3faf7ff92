/**
 * The targets of one pool as an entry sees them, and the subset that it
 * spreads its requests over. The subset is the same for as long as its members
 * are there: each entry ranks the targets by a hash of its own name and
 * theirs, so that the entries' subsets differ and together cover the pool.
 */

import type { TargetRecord } from "./target_record.ts";

export class TargetPool {
  readonly #members: TargetRecord[] = [];
  #subset: readonly TargetRecord[] = [];

  private constructor() {}

  static create(): TargetPool {
    return new TargetPool();
  }

  get members(): readonly TargetRecord[] {
    return this.#members;
  }

  get subset(): readonly TargetRecord[] {
    return this.#subset;
  }

  add(target: TargetRecord): void {
    this.#members.push(target);
  }

  /** Chooses the subset anew; to be called after the last `add`. */
  rank(
    { entryHash, subsetSize }: {
      readonly entryHash: number;
      readonly subsetSize: number;
    },
  ): void {
    const open = this.#members.filter((target) => target.state !== "closed");
    this.#subset = open
      .map((target) => ({
        target,
        weight: mixHashes(entryHash, target.nameHash),
      }))
      .sort((left, right) => left.weight - right.weight)
      .slice(0, subsetSize)
      .map(({ target }) => target);
  }

  /**
   * The mean of others' requests at the targets that have reported. One idle
   * target is counted with them, so that a few reports of busy targets don't
   * make all that never reported look busy.
   */
  meanOthers(): number {
    let sum = 0;
    let count = 0;
    for (const target of this.#subset) {
      if (target.reportedOthers === undefined) continue;
      sum += target.reportedOthers;
      count += 1;
    }
    return sum / (count + 1);
  }

  /**
   * The first target of the subset that may be chosen, in an order given by
   * the prefix. Beyond the subset too little is known of a target's load.
   */
  preferredFor(
    prefixHash: number,
    mayChoose: (target: TargetRecord) => boolean,
  ): TargetRecord | undefined {
    let best: TargetRecord | undefined;
    let bestWeight = Infinity;
    for (const target of this.#subset) {
      const weight = mixHashes(prefixHash, target.nameHash);
      if (weight >= bestWeight || !mayChoose(target)) continue;
      best = target;
      bestWeight = weight;
    }
    return best;
  }
}

/** One well-spread unsigned 32-bit number from two. */
export function mixHashes(left: number, right: number): number {
  let mixed = Math.imul(left ^ (right >>> 15), 0x85ebca6b) ^ right;
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x27d4eb2f);
  return (mixed ^ (mixed >>> 15)) >>> 0;
}
