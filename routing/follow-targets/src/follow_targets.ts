/**
 * Keeps the targets named in the store. A target whose entry goes is gone at
 * once, except right after an outage of the store: entries lapse while targets
 * cannot renew them, so those that went then count until the targets have had
 * time to return. Such a list must not empty a pool.
 */

import type { MemberTarget } from "@dandelionbank/types";

/** Added to the time for returning, for the way from the store to here. */
const RETURN_MARGIN_MS = 300;

/** Opaque; changed in place. */
export interface FollowedTargets {
  readonly returnMs: number;
  readonly targets: Map<string, MemberTarget>;
  /** When targets that lapsed during an outage count as gone, by id. */
  readonly lapsedUntilMs: Map<string, number>;
  /** Until then, an entry that goes counts as lapsed. */
  lapsesUntilMs: number;
  isStoreLost: boolean;
}

export type TargetsEvent =
  | { readonly type: "listed"; readonly targets: readonly MemberTarget[] }
  | { readonly type: "put"; readonly target: MemberTarget }
  /** The entry is gone, or names no target any more. */
  | { readonly type: "removed"; readonly id: string }
  | { readonly type: "storeLost" }
  | { readonly type: "storeAnswered" }
  | { readonly type: "tick" };

export interface FollowedTargetsOptions {
  /** How long after the store's return a live target may lack its entry. */
  readonly returnMs: number;
}

export function createFollowedTargets(
  { returnMs }: FollowedTargetsOptions,
): FollowedTargets {
  return {
    returnMs,
    targets: new Map(),
    lapsedUntilMs: new Map(),
    lapsesUntilMs: 0,
    isStoreLost: false,
  };
}

/** True if the targets have changed. */
export function stepTargets(
  state: FollowedTargets,
  event: TargetsEvent,
  nowMs: number,
): boolean {
  switch (event.type) {
    case "storeLost":
      state.isStoreLost = true;
      return false;
    case "storeAnswered":
      noteAnswer(state, nowMs);
      return false;
    case "listed":
      return takeList(state, { targets: event.targets, nowMs });
    case "put":
      state.lapsedUntilMs.delete(event.target.id);
      state.targets.set(event.target.id, event.target);
      return true;
    case "removed":
      return removeTarget(state, { id: event.id, nowMs });
    case "tick":
      return removeLapsed(state, nowMs);
  }
}

function noteAnswer(state: FollowedTargets, nowMs: number): void {
  if (!state.isStoreLost) return;
  state.isStoreLost = false;
  state.lapsesUntilMs = nowMs + state.returnMs + RETURN_MARGIN_MS;
}

function takeList(
  state: FollowedTargets,
  { targets, nowMs }: {
    readonly targets: readonly MemberTarget[];
    readonly nowMs: number;
  },
): boolean {
  const listed = new Set(targets.map(({ id }) => id));
  for (const target of targets) {
    state.lapsedUntilMs.delete(target.id);
    state.targets.set(target.id, target);
  }
  for (const id of [...state.targets.keys()]) {
    if (!listed.has(id)) removeTarget(state, { id, nowMs });
  }
  return true;
}

function removeTarget(
  state: FollowedTargets,
  { id, nowMs }: { readonly id: string; readonly nowMs: number },
): boolean {
  const target = state.targets.get(id);
  if (target === undefined) return false;
  // A target that said it was leaving did not merely lapse.
  if (nowMs < state.lapsesUntilMs && !target.isDraining) {
    if (!state.lapsedUntilMs.has(id)) {
      state.lapsedUntilMs.set(id, state.lapsesUntilMs);
    }
    return false;
  }
  state.lapsedUntilMs.delete(id);
  return state.targets.delete(id);
}

function removeLapsed(state: FollowedTargets, nowMs: number): boolean {
  let hasChanged = false;
  for (const [id, untilMs] of state.lapsedUntilMs) {
    if (nowMs < untilMs) continue;
    state.lapsedUntilMs.delete(id);
    state.targets.delete(id);
    hasChanged = true;
  }
  return hasChanged;
}
