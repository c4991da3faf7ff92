/**
 * Ranks are alike, so states that differ only in which rank is which are one.
 * Of all renamings of a state, the one with the smallest key stands for it.
 */

import type { Interner } from "./interner.ts";
import type { Model } from "./model.ts";
import { createKey } from "./world.ts";
import type { World } from "./world.ts";

/** Fields that hold one element per rank. */
const PER_RANK = new Set([
  "answers",
  "incarnations",
  "outcomes",
  "promisedBy",
  "stagedAt",
  "statuses",
]);

type Renaming = readonly number[];

export interface CanonicalWorld {
  readonly world: World;
  readonly key: string;
}

export class Symmetry {
  readonly #renamings: readonly Renaming[];
  readonly #nodes: readonly Renamer<unknown>[];
  readonly #messages: readonly Renamer<unknown>[];
  readonly #coordinators: readonly Renamer<unknown>[];

  static create(model: Model, groupSize: number): Symmetry {
    return new Symmetry(model, groupSize);
  }

  private constructor(model: Model, groupSize: number) {
    this.#renamings = listRenamings(groupSize);
    this.#nodes = this.#createRenamers(model.nodes);
    this.#messages = this.#createRenamers(model.messages);
    this.#coordinators = this.#createRenamers(model.coordinators);
  }

  /** The state that stands for this one, and its key. */
  selectCanonical(world: World): CanonicalWorld {
    const nodes = this.#renamings.map((_, index) =>
      this.#renameNodes(world, index)
    );
    const least = nodes.reduce((one, other) =>
      compare(other, one) < 0 ? other : one
    );
    const candidates = nodes
      .flatMap((other, index) => compare(other, least) === 0 ? [index] : [])
      .map((index) => this.#renameRest(world, index, least))
      .map((renamed) => ({ world: renamed, key: createKey(renamed) }));
    return candidates.reduce((one, other) => other.key < one.key ? other : one);
  }

  #renameNodes(world: World, index: number): readonly number[] {
    const renaming = this.#renamings[index]!;
    const nodes: number[] = [];
    world.nodes.forEach((id, rank) => {
      nodes[renaming[rank]!] = this.#nodes[index]!.rename(id);
    });
    return nodes;
  }

  #renameRest(world: World, index: number, nodes: readonly number[]): World {
    if (index === 0) return world;
    const coordinators = world.coordinators.map((id) =>
      id < 0 ? id : this.#coordinators[index]!.rename(id)
    );
    const network = world.network
      .map((id) => this.#messages[index]!.rename(id))
      .sort((a, b) => a - b);
    return { ...world, nodes, coordinators, network };
  }

  #createRenamers<Value>(interner: Interner<Value>): readonly Renamer<Value>[] {
    return this.#renamings.map((renaming) => new Renamer(interner, renaming));
  }
}

class Renamer<Value> {
  readonly #interner: Interner<Value>;
  readonly #renaming: Renaming;
  readonly #known: number[] = [];

  constructor(interner: Interner<Value>, renaming: Renaming) {
    this.#interner = interner;
    this.#renaming = renaming;
  }

  rename(id: number): number {
    const known = this.#known[id];
    if (known !== undefined) return known;
    const value = renameRanks(this.#interner.get(id), this.#renaming, "");
    const renamed = this.#interner.intern(value as Value);
    this.#known[id] = renamed;
    return renamed;
  }
}

function compare(one: readonly number[], other: readonly number[]): number {
  const index = one.findIndex((id, at) => id !== other[at]);
  return index < 0 ? 0 : one[index]! - other[index]!;
}

function renameRanks(value: unknown, renaming: Renaming, key: string): unknown {
  if (key === "rank") return renaming[Number(value)];
  if (Array.isArray(value)) return renameElements(value, renaming, key);
  if (value === null || typeof value !== "object") return value;
  const fields = Object.entries(value)
    .map(([name, field]) => [name, renameRanks(field, renaming, name)]);
  return Object.fromEntries(fields);
}

function renameElements(
  values: readonly unknown[],
  renaming: Renaming,
  key: string,
): readonly unknown[] {
  const renamed = values.map((value) => renameRanks(value, renaming, ""));
  if (!PER_RANK.has(key)) return renamed;
  const ordered: unknown[] = [];
  renamed.forEach((value, rank) => {
    ordered[renaming[rank]!] = value;
  });
  return ordered;
}

/** Every order of the ranks; the first leaves all as they are. */
function listRenamings(size: number): readonly Renaming[] {
  if (size === 0) return [[]];
  return listRenamings(size - 1).flatMap((shorter) =>
    Array.from(
      { length: size },
      (_, offset) => shorter.toSpliced(size - 1 - offset, 0, size - 1),
    )
  );
}
