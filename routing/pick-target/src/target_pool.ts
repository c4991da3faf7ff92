/**
 * The targets of one pool as seen by one entry, and the subset over which the
 * entry distributes its requests. Each entry orders the targets by a hash of its
 * own name and theirs (rendezvous hashing). So a subset stays the same while its
 * members exist, and the subsets of all entries differ and together cover the
 * pool.
 */

import { RetryTimes } from "@dandelionbank/pace-requests";
import type { TargetRecord } from "./target_record.ts";

export class TargetPool {
  /** Staggers the callers that are refused while the targets are limited. */
  readonly retryTimes = RetryTimes.create();
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

  /** Selects the subset; must be called after the last `add`. */
  selectSubset(
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
   * Mean number of requests from other entries at the targets that have reported
   * a load. The mean includes one additional idle target, so that a few reports
   * of busy targets don't make all targets without a report look busy.
   */
  meanFromOthers(): number {
    let sum = 0;
    let count = 0;
    for (const target of this.#subset) {
      if (target.reportedFromOthers === undefined) continue;
      sum += target.reportedFromOthers;
      count += 1;
    }
    return sum / (count + 1);
  }

  /**
   * Returns the first eligible target of the subset in the order given by the
   * prefix hash. Targets outside the subset are not considered, because too
   * little is known of their load.
   */
  preferredFor(
    prefixHash: number,
    isEligible: (target: TargetRecord) => boolean,
  ): TargetRecord | undefined {
    let best: TargetRecord | undefined;
    let bestWeight = Infinity;
    for (const target of this.#subset) {
      const weight = mixHashes(prefixHash, target.nameHash);
      if (weight >= bestWeight || !isEligible(target)) continue;
      best = target;
      bestWeight = weight;
    }
    return best;
  }
}

/** Mixes two hashes into one evenly distributed unsigned 32-bit number. */
export function mixHashes(left: number, right: number): number {
  let mixed = Math.imul(left ^ (right >>> 15), 0x85ebca6b) ^ right;
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x27d4eb2f);
  return (mixed ^ (mixed >>> 15)) >>> 0;
}
