/** The takeover's state. */

import { AgentHistory } from "./agent_history.ts";
import type { TakeOverEffect, TakeOverOptions } from "./events.ts";
import type { Takeover } from "./takeover.ts";

/** Opaque to callers: only `step` and `findHome` read and change it. */
export interface TakeOverState {
  readonly options: TakeOverOptions;
  readonly history: AgentHistory;
  /** Closed incarnations, each with its successor. */
  readonly closings: Map<string, string>;
  readonly live: Set<string>;
  /** Takeovers by each incarnation that they cover; later ones replace earlier. */
  readonly takeovers: Map<string, Takeover>;
  /** Until then this entry's own incarnation is known not to be closed. */
  confirmedUntilMs: number;
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
    confirmedUntilMs: -1,
    nowMs: 0,
  };
}

/**
 * Follows the closings to the incarnation that answers for another's keys.
 * There is none if two that were both closed name each other.
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

/** Each takeover once. */
export function listTakeovers(state: TakeOverState): readonly Takeover[] {
  return [...new Set(state.takeovers.values())];
}
