/**
 * The placement policies, chosen by name in the configuration. Each is given
 * the targets that may be chosen, at least one, and picks one of them.
 */

import type { TargetRecord } from "./target_record.ts";

/** Numbers from 0 to below 1, evenly distributed. */
export type RandomSource = () => number;

export interface PolicyContext {
  readonly random: RandomSource;
  /** Requests expected at a target. */
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

/** The policy of that name, or `undefined` if there is none. */
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
    return candidates[drawIndex(candidates.length, random)]!;
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

/** The least loaded of all; equals are told apart at random. */
export class LeastRequestsPolicy implements PlacementPolicy {
  readonly name = "leastRequests";

  static create(): LeastRequestsPolicy {
    return new LeastRequestsPolicy();
  }

  choose(
    candidates: readonly TargetRecord[],
    { random, estimate }: PolicyContext,
  ): TargetRecord {
    const offset = drawIndex(candidates.length, random);
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

/** The less loaded of two drawn at random. */
export class PowerOfTwoPolicy implements PlacementPolicy {
  readonly name = "powerOfTwo";

  static create(): PowerOfTwoPolicy {
    return new PowerOfTwoPolicy();
  }

  choose(
    candidates: readonly TargetRecord[],
    { random, estimate }: PolicyContext,
  ): TargetRecord {
    const firstIndex = drawIndex(candidates.length, random);
    const first = candidates[firstIndex]!;
    if (candidates.length === 1) return first;
    const step = 1 + drawIndex(candidates.length - 1, random);
    const second = candidates[(firstIndex + step) % candidates.length]!;
    return estimate(second) < estimate(first) ? second : first;
  }
}

function drawIndex(length: number, random: RandomSource): number {
  return Math.min(length - 1, Math.floor(random() * length));
}
