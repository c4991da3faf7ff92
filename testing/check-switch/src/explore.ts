/**
 * Breadth-first search over all reachable states of the model. Each state is
 * saturated: the steps that only add messages have been applied to it.
 */

import { Continuation } from "./continuation.ts";
import type { Model } from "./model.ts";
import type { Action, World } from "./world.ts";
import { Symmetry } from "./symmetry.ts";

export interface Exploration {
  /** Distinct states up to permutation of the ranks, each saturated. */
  readonly states: number;
  readonly transitions: number;
  /** Distinct states of the ranks that were checked for liveness. */
  readonly continuations: number;
  /** Whether the search stopped at the maximum number of states. */
  readonly truncated: boolean;
  readonly violation?: ViolationTrace;
}

export interface ViolationTrace {
  readonly detail: string;
  /** Descriptions of the actions that lead to it from the initial state. */
  readonly path: readonly string[];
}

export interface ExploreOptions {
  readonly maxStates: number;
  /** Whether each state is checked for liveness. */
  readonly progress: boolean;
}

export function explore(
  model: Model,
  initial: World,
  options: ExploreOptions,
): Exploration {
  return new Search(model, initial.nodes.length, options).run(initial);
}

class Search {
  readonly #model: Model;
  readonly #options: ExploreOptions;
  readonly #continuation: Continuation;
  readonly #visitedKeys = new Set<string>();
  readonly #symmetry: Symmetry;
  readonly #worlds: (World | undefined)[] = [];
  readonly #parents: number[] = [];
  readonly #actions: (Action | undefined)[] = [];
  #transitions = 0;

  constructor(model: Model, groupSize: number, options: ExploreOptions) {
    this.#model = model;
    this.#options = options;
    this.#symmetry = Symmetry.create(model, groupSize);
    this.#continuation = Continuation.create(model);
  }

  run(initial: World): Exploration {
    this.#visit(this.#model.saturate(initial), -1);
    for (let index = 0; index < this.#worlds.length; index += 1) {
      if (this.#worlds.length > this.#options.maxStates) break;
      const violation = this.#expand(index);
      if (violation !== undefined) return { ...this.#summarize(), violation };
    }
    return this.#summarize();
  }

  #expand(index: number): ViolationTrace | undefined {
    const world = this.#worlds[index]!;
    this.#worlds[index] = undefined;
    if (!this.#canFinish(world)) {
      return { detail: "The group can't go on", path: this.#tracePath(index) };
    }
    for (const next of this.#model.listTransitions(world)) {
      this.#transitions += 1;
      const { action } = next;
      const detail = next.violations[0];
      if (detail !== undefined) {
        const last = this.#model.describe(action);
        return { detail, path: [...this.#tracePath(index), last] };
      }
      this.#visit(next.world, index, action);
    }
    return undefined;
  }

  #canFinish(world: World): boolean {
    return !this.#options.progress || this.#continuation.canFinish(world.nodes);
  }

  #visit(world: World, parent: number, action?: Action): void {
    const canonical = this.#symmetry.selectCanonical(world);
    if (this.#visitedKeys.has(canonical.key)) return;
    this.#visitedKeys.add(canonical.key);
    this.#worlds.push(canonical.world);
    this.#parents.push(parent);
    this.#actions.push(action);
  }

  #summarize(): Omit<Exploration, "violation"> {
    return {
      states: this.#worlds.length,
      transitions: this.#transitions,
      continuations: this.#continuation.count,
      truncated: this.#worlds.length > this.#options.maxStates,
    };
  }

  #tracePath(index: number): readonly string[] {
    const path: string[] = [];
    for (let at = index; at >= 0; at = this.#parents[at]!) {
      const action = this.#actions[at];
      if (action !== undefined) path.push(this.#model.describe(action));
    }
    return path.reverse();
  }
}
