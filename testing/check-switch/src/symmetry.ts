/**
 * Symmetry reduction: ranks are interchangeable, so states that differ only by
 * a permutation of the ranks are equivalent. The permutation with the smallest
 * key represents its class.
 */

import type { Interner } from "./interner.ts";
import type { Model } from "./model.ts";
import { createKey } from "./world.ts";
import type { World } from "./world.ts";

/** Fields of states and messages that hold one element per rank. */
const PER_RANK = new Set([
  "answers",
  "incarnations",
  "outcomes",
  "promisedBy",
  "stagedAt",
  "statuses",
]);

type Permutation = readonly number[];

export interface CanonicalWorld {
  readonly world: World;
  readonly key: string;
}

export class Symmetry {
  readonly #permutations: readonly Permutation[];
  readonly #nodes: readonly Permuter<unknown>[];
  readonly #messages: readonly Permuter<unknown>[];
  readonly #coordinators: readonly Permuter<unknown>[];

  static create(model: Model, groupSize: number): Symmetry {
    return new Symmetry(model, groupSize);
  }

  private constructor(model: Model, groupSize: number) {
    this.#permutations = listPermutations(groupSize);
    this.#nodes = this.#createPermuters(model.nodes);
    this.#messages = this.#createPermuters(model.messages);
    this.#coordinators = this.#createPermuters(model.coordinators);
  }

  /** Returns the representative of the state's equivalence class, and its key. */
  selectCanonical(world: World): CanonicalWorld {
    const nodes = this.#permutations.map((_, index) =>
      this.#permuteNodes(world, index)
    );
    const smallestNodes = nodes.reduce((smallest, permuted) =>
      compareIds(permuted, smallest) < 0 ? permuted : smallest
    );
    const candidates = nodes
      .flatMap((permuted, index) =>
        compareIds(permuted, smallestNodes) === 0 ? [index] : []
      )
      .map((index) => this.#permuteRest(world, index, smallestNodes))
      .map((permuted) => ({ world: permuted, key: createKey(permuted) }));
    return candidates.reduce((smallest, candidate) =>
      candidate.key < smallest.key ? candidate : smallest
    );
  }

  #permuteNodes(world: World, index: number): readonly number[] {
    const permutation = this.#permutations[index]!;
    const nodes: number[] = [];
    world.nodes.forEach((id, rank) => {
      nodes[permutation[rank]!] = this.#nodes[index]!.apply(id);
    });
    return nodes;
  }

  #permuteRest(world: World, index: number, nodes: readonly number[]): World {
    if (index === 0) return world;
    const coordinators = world.coordinators.map((id) =>
      id < 0 ? id : this.#coordinators[index]!.apply(id)
    );
    const network = world.network
      .map((id) => this.#messages[index]!.apply(id))
      .sort((a, b) => a - b);
    return { ...world, nodes, coordinators, network };
  }

  #createPermuters<Value>(
    interner: Interner<Value>,
  ): readonly Permuter<Value>[] {
    return this.#permutations.map((permutation) =>
      new Permuter(interner, permutation)
    );
  }
}

class Permuter<Value> {
  readonly #interner: Interner<Value>;
  readonly #permutation: Permutation;
  readonly #permutedIds: number[] = [];

  constructor(interner: Interner<Value>, permutation: Permutation) {
    this.#interner = interner;
    this.#permutation = permutation;
  }

  apply(id: number): number {
    const known = this.#permutedIds[id];
    if (known !== undefined) return known;
    const value = permuteRanks(this.#interner.get(id), this.#permutation, "");
    const permutedId = this.#interner.intern(value as Value);
    this.#permutedIds[id] = permutedId;
    return permutedId;
  }
}

function compareIds(left: readonly number[], right: readonly number[]): number {
  const index = left.findIndex((id, position) => id !== right[position]);
  return index < 0 ? 0 : left[index]! - right[index]!;
}

function permuteRanks(
  value: unknown,
  permutation: Permutation,
  key: string,
): unknown {
  if (key === "rank") return permutation[Number(value)];
  if (Array.isArray(value)) return permuteElements(value, permutation, key);
  if (value === null || typeof value !== "object") return value;
  const fields = Object.entries(value)
    .map(([name, field]) => [name, permuteRanks(field, permutation, name)]);
  return Object.fromEntries(fields);
}

function permuteElements(
  values: readonly unknown[],
  permutation: Permutation,
  key: string,
): readonly unknown[] {
  const permuted = values.map((value) => permuteRanks(value, permutation, ""));
  if (!PER_RANK.has(key)) return permuted;
  const ordered: unknown[] = [];
  permuted.forEach((value, rank) => {
    ordered[permutation[rank]!] = value;
  });
  return ordered;
}

/** Lists all permutations of the ranks; the first is the identity. */
function listPermutations(size: number): readonly Permutation[] {
  if (size === 0) return [[]];
  return listPermutations(size - 1).flatMap((shorter) =>
    Array.from(
      { length: size },
      (_, offset) => shorter.toSpliced(size - 1 - offset, 0, size - 1),
    )
  );
}
