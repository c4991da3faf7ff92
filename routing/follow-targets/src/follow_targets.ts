/**
 * Keeps the targets named in the store. A target whose entry goes is gone at
 * once, except right after an outage of the store: entries lapse while targets
 * cannot renew them, so those that went then count until the targets have had
 * time to return. Such a list must not empty a pool.
 *
 * A target that has started again has another id at the same address, and its
 * old entry stays for a while. Of entries with one address, the one that was
 * written last counts; one whose address answers as another target counts only
 * once it is written again.
 */

import type { MemberTarget } from "@dandelionbank/types";

/** Added to the time for returning, for the way from the store to here. */
const RETURN_MARGIN_MS = 300;

/** Opaque; changed in place. */
export interface TargetTracker {
  readonly reregistrationMs: number;
  readonly targets: Map<string, MemberTarget>;
  /** Entries that name no target any more, by id: the revision that did. */
  readonly superseded: Map<string, number>;
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
  /** Another target answers at this one's address. */
  | { readonly type: "misdirected"; readonly id: string }
  | { readonly type: "storeLost" }
  | { readonly type: "storeAnswered" }
  | { readonly type: "tick" };

export interface TargetTrackerOptions {
  /** How long after the store's return a live target may lack its entry. */
  readonly reregistrationMs: number;
}

export function createTargetTracker(
  { reregistrationMs }: TargetTrackerOptions,
): TargetTracker {
  return {
    reregistrationMs,
    targets: new Map(),
    superseded: new Map(),
    lapsedUntilMs: new Map(),
    lapsesUntilMs: 0,
    isStoreLost: false,
  };
}

/** True if the targets have changed. */
export function updateTargets(
  state: TargetTracker,
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
      putTarget(state, event.target);
      return true;
    case "removed":
      state.superseded.delete(event.id);
      return removeTarget(state, { id: event.id, nowMs });
    case "misdirected": {
      const target = state.targets.get(event.id);
      if (target === undefined) return false;
      return supersede(state, target);
    }
    case "tick":
      return removeLapsed(state, nowMs);
  }
}

function noteAnswer(state: TargetTracker, nowMs: number): void {
  if (!state.isStoreLost) return;
  state.isStoreLost = false;
  state.lapsesUntilMs = nowMs + state.reregistrationMs + RETURN_MARGIN_MS;
}

function takeList(
  state: TargetTracker,
  { targets, nowMs }: {
    readonly targets: readonly MemberTarget[];
    readonly nowMs: number;
  },
): boolean {
  const listed = new Set(targets.map(({ id }) => id));
  for (const target of targets) putTarget(state, target);
  for (const id of [...state.superseded.keys()]) {
    if (!listed.has(id)) state.superseded.delete(id);
  }
  for (const id of [...state.targets.keys()]) {
    if (!listed.has(id)) removeTarget(state, { id, nowMs });
  }
  return true;
}

function putTarget(state: TargetTracker, target: MemberTarget): void {
  const { id, address, revision } = target;
  const supersededAt = state.superseded.get(id);
  if (supersededAt !== undefined && revision <= supersededAt) return;
  state.superseded.delete(id);
  for (const other of [...state.targets.values()]) {
    if (other.id === id || other.address !== address) continue;
    if (other.revision > revision) {
      state.superseded.set(id, revision);
      return;
    }
    supersede(state, other);
  }
  state.lapsedUntilMs.delete(id);
  state.targets.set(id, target);
}

function supersede(state: TargetTracker, target: MemberTarget): boolean {
  state.superseded.set(target.id, target.revision);
  state.lapsedUntilMs.delete(target.id);
  return state.targets.delete(target.id);
}

function removeTarget(
  state: TargetTracker,
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

function removeLapsed(state: TargetTracker, nowMs: number): boolean {
  let hasChanged = false;
  for (const [id, untilMs] of state.lapsedUntilMs) {
    if (nowMs < untilMs) continue;
    state.lapsedUntilMs.delete(id);
    state.targets.delete(id);
    hasChanged = true;
  }
  return hasChanged;
}
