/**
 * Placement policies, selected by name in the configuration. A policy receives
 * a non-empty list of candidates and chooses one of them.
 */

import type { TargetRecord } from "./target_record.ts";

/** Returns a uniformly distributed number in the interval [0, 1). */
export type RandomSource = () => number;

export interface PolicyContext {
  readonly random: RandomSource;
  /** Returns the estimated number of requests at a target. */
  readonly estimate: (target: TargetRecord) => number;
}

export interface PlacementPolicy {
  readonly name: string;
  choose(
    candidates: readonly TargetRecord[],
    context: PolicyContext,
  ): TargetRecord;
}

export const DEFAULT_POLICY = "leastRequests";

/** Creates the named policy; `undefined` if the name is unknown. */
export function createPolicy(name: string): PlacementPolicy | undefined {
  switch (name) {
    case "random":
      return RandomPolicy.create();
    case "roundRobin":
      return RoundRobinPolicy.create();
    case "leastRequests":
      return LeastRequestsPolicy.create();
    case "powerOfTwo":
      return PowerOfTwoPolicy.create();
    default:
      return undefined;
  }
}

export class RandomPolicy implements PlacementPolicy {
  readonly name = "random";

  static create(): RandomPolicy {
    return new RandomPolicy();
  }

  choose(
    candidates: readonly TargetRecord[],
    { random }: PolicyContext,
  ): TargetRecord {
    return candidates[randomIndex(candidates.length, random)]!;
  }
}

export class RoundRobinPolicy implements PlacementPolicy {
  readonly name = "roundRobin";
  #next = 0;

  static create(): RoundRobinPolicy {
    return new RoundRobinPolicy();
  }

  choose(candidates: readonly TargetRecord[]): TargetRecord {
    const chosen = candidates[this.#next % candidates.length]!;
    this.#next += 1;
    return chosen;
  }
}

/** Chooses the least loaded candidate; ties are broken at random. */
export class LeastRequestsPolicy implements PlacementPolicy {
  readonly name = "leastRequests";

  static create(): LeastRequestsPolicy {
    return new LeastRequestsPolicy();
  }

  choose(
    candidates: readonly TargetRecord[],
    { random, estimate }: PolicyContext,
  ): TargetRecord {
    const offset = randomIndex(candidates.length, random);
    let best = candidates[offset]!;
    let bestLoad = estimate(best);
    for (let step = 1; step < candidates.length; step++) {
      const candidate = candidates[(offset + step) % candidates.length]!;
      const load = estimate(candidate);
      if (load >= bestLoad) continue;
      best = candidate;
      bestLoad = load;
    }
    return best;
  }
}

/** Chooses the less loaded of two random candidates. */
export class PowerOfTwoPolicy implements PlacementPolicy {
  readonly name = "powerOfTwo";

  static create(): PowerOfTwoPolicy {
    return new PowerOfTwoPolicy();
  }

  choose(
    candidates: readonly TargetRecord[],
    { random, estimate }: PolicyContext,
  ): TargetRecord {
    const firstIndex = randomIndex(candidates.length, random);
    const first = candidates[firstIndex]!;
    if (candidates.length === 1) return first;
    const step = 1 + randomIndex(candidates.length - 1, random);
    const second = candidates[(firstIndex + step) % candidates.length]!;
    return estimate(second) < estimate(first) ? second : first;
  }
}

function randomIndex(length: number, random: RandomSource): number {
  return Math.min(length - 1, Math.floor(random() * length));
}
