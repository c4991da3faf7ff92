/** State of the takeovers and the context of one step. */

import { AgentHistory } from "./agent_history.ts";
import type { TakeOverEffect, TakeOverOptions } from "./events.ts";
import type { Takeover } from "./takeover.ts";

/** Opaque: only `step` and `findHome` use it. */
export interface TakeOverState {
  readonly options: TakeOverOptions;
  readonly history: AgentHistory;
  /** Successors by closed incarnation. */
  readonly closings: Map<string, string>;
  /** Incarnations of the entries that are registered and respond. */
  readonly live: Set<string>;
  /** Takeovers by covered incarnation; a later one replaces an earlier one. */
  readonly takeovers: Map<string, Takeover>;
  /** This entry's own incarnation is known not to be closed before this time. */
  ownLeaseUntilMs: number;
  nowMs: number;
}

export interface TakeOverContext {
  readonly state: TakeOverState;
  readonly nowMs: number;
  readonly effects: TakeOverEffect[];
}

export function createTakeOverState(options: TakeOverOptions): TakeOverState {
  return {
    options,
    history: AgentHistory.create(),
    closings: new Map(),
    live: new Set(),
    takeovers: new Map(),
    ownLeaseUntilMs: -1,
    nowMs: 0,
  };
}

/**
 * Follows the successors of an incarnation to the one that arbitrates its keys.
 * Returns `undefined` if closed incarnations name each other as successors.
 */
export function findArbiter(
  closings: ReadonlyMap<string, string>,
  incarnation: string,
): string | undefined {
  let arbiter = incarnation;
  for (let hops = 0; hops <= closings.size; hops++) {
    const successor = closings.get(arbiter);
    if (successor === undefined) return arbiter;
    arbiter = successor;
  }
  return undefined;
}

/** Lists each takeover once. */
export function listTakeovers(state: TakeOverState): readonly Takeover[] {
  return [...new Set(state.takeovers.values())];
}
