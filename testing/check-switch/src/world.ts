/**
 * A global state of the group under check. Each component is the id of an
 * interned value, so that states are small and cheap to compare.
 */

/** Id of a coordinator that has not started. */
export const NOT_STARTED = -1;
/** Id of a coordinator whose proposal is settled, or that ended earlier. */
export const ENDED = -2;

export interface World {
  /** Ids of agent and engine together, by rank. */
  readonly nodes: readonly number[];
  /** Ids by fencing number, from 1, or `NOT_STARTED` or `ENDED`. */
  readonly coordinators: readonly number[];
  /** Ids of all messages that were sent and may still have an effect, sorted. */
  readonly network: readonly number[];
  /** Map version of each step that all ranks have begun; 0 for none. */
  readonly completed: readonly number[];
  /** Remaining replacements of agents or ranks. */
  readonly replacementsLeft: number;
  /** Remaining changes of the coordinator. */
  readonly changesLeft: number;
}

export type ActionKind =
  | "deliver"
  | "advance"
  | "replaceAgent"
  | "replaceRank"
  | "startCoordinator";

/** The cause of a transition. */
export interface Action {
  readonly kind: ActionKind;
  /** Rank, fencing number or message id, depending on the kind. */
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

/** Whether two states are equal, `completed` left out of the comparison. */
export function equalsExceptCompleted(left: World, right: World): boolean {
  return haveSameIds(left.nodes, right.nodes) &&
    haveSameIds(left.coordinators, right.coordinators) &&
    haveSameIds(left.network, right.network) &&
    left.replacementsLeft === right.replacementsLeft &&
    left.changesLeft === right.changesLeft;
}

function haveSameIds(
  left: readonly number[],
  right: readonly number[],
): boolean {
  return left === right ||
    (left.length === right.length &&
      left.every((id, index) => id === right[index]));
}
