/** A seeded random number generator. The same seed gives the same sequence. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const PROBABILITY_STEPS = 1_000_000;

export class Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  private constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  static create(seed: number): Random {
    return new Random(seed);
  }

  /** Returns an integer from `min` to `max`, both included. */
  int(min: number, max: number): number {
    return uniformInt(this.#generator, min, max);
  }

  /** Returns true with the given probability, from 0 to 1. */
  chance(probability: number): boolean {
    return this.int(0, PROBABILITY_STEPS - 1) < probability * PROBABILITY_STEPS;
  }

  pick<Item>(items: readonly Item[]): Item {
    const item = items[this.int(0, items.length - 1)];
    if (item === undefined) throw new Error("Cannot pick from an empty list");
    return item;
  }
}
