/**
 * One state of the group under check: every part is a number that an interner
 * gave, so that a state is small and comparing two is cheap.
 */

/** No coordinator yet. */
export const NONE = -1;
/** A coordinator that has done its work. */
export const ENDED = -2;

export interface World {
  /** Agent and rank, by rank. */
  readonly nodes: readonly number[];
  /** By fencing number, from 1; else `NONE` or `ENDED`. */
  readonly coordinators: readonly number[];
  /** Every message that was sent and may still matter, sorted. */
  readonly network: readonly number[];
  /** Map of each step that all ranks began; 0 for none. */
  readonly completed: readonly number[];
  /** Replacements of agents or ranks that are left. */
  readonly replacementsLeft: number;
  /** Changes of the coordinator that are left. */
  readonly changesLeft: number;
}

export type ActionKind =
  | "deliver"
  | "advance"
  | "replaceAgent"
  | "replaceRank"
  | "startCoordinator";

/** What leads from one state to another. */
export interface Action {
  readonly kind: ActionKind;
  /** Rank, fencing number or message. */
  readonly subject: number;
}

export interface Transition {
  readonly action: Action;
  readonly world: World;
  readonly violations: readonly string[];
}

export function createKey(world: World): string {
  return [
    world.nodes.join(),
    world.coordinators.join(),
    world.network.join(),
    world.completed.join(),
    world.replacementsLeft,
    world.changesLeft,
  ].join(";");
}

/** Whether two states are alike but for the steps completed. */
export function isSame(one: World, other: World): boolean {
  return isEqual(one.nodes, other.nodes) &&
    isEqual(one.coordinators, other.coordinators) &&
    isEqual(one.network, other.network) &&
    one.replacementsLeft === other.replacementsLeft &&
    one.changesLeft === other.changesLeft;
}

function isEqual(one: readonly number[], other: readonly number[]): boolean {
  return one === other ||
    (one.length === other.length &&
      one.every((id, index) => id === other[index]));
}
