/**
 * Tracks the targets registered in the store. Normally a target is removed as
 * soon as its registration is. Registrations also expire during an outage of the
 * store, when targets cannot renew them. So a target whose registration is
 * missing right after an outage is kept until it has had time to register again;
 * otherwise the first list after the outage could empty a pool.
 *
 * A restarted target registers under a new id at the same address, while its old
 * registration remains for some time. Among registrations with the same address,
 * the one written last takes effect. A registration whose address answers as
 * another target is ignored until it is written again.
 */

import type { MemberTarget } from "@dandelionbank/types";

/** Allowance for the propagation from the store to this process. */
const REREGISTRATION_MARGIN_MS = 300;

/** Opaque to callers; updated in place. */
export interface TargetTracker {
  readonly reregistrationMs: number;
  readonly targets: Map<string, MemberTarget>;
  /** Revisions of ignored registrations, by id; a later revision takes effect. */
  readonly superseded: Map<string, number>;
  /** Removal times of targets whose registration expired in an outage, by id. */
  readonly expiredUntilMs: Map<string, number>;
  /** Until this time, missing registrations are assumed to have expired. */
  graceUntilMs: number;
  isStoreLost: boolean;
}

export type TargetsEvent =
  | { readonly type: "listed"; readonly targets: readonly MemberTarget[] }
  | { readonly type: "put"; readonly target: MemberTarget }
  /** The registration was deleted, or no longer describes a target. */
  | { readonly type: "removed"; readonly id: string }
  /** Another target answered at this target's address. */
  | { readonly type: "misdirected"; readonly id: string }
  | { readonly type: "storeLost" }
  | { readonly type: "storeAnswered" }
  | { readonly type: "tick" };

export interface TargetTrackerOptions {
  /** Time that a live target may take to register again after a store outage. */
  readonly reregistrationMs: number;
}

export function createTargetTracker(
  { reregistrationMs }: TargetTrackerOptions,
): TargetTracker {
  return {
    reregistrationMs,
    targets: new Map(),
    superseded: new Map(),
    expiredUntilMs: new Map(),
    graceUntilMs: 0,
    isStoreLost: false,
  };
}

/** Applies an event; returns true if the targets may have changed. */
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
      recordStoreAnswer(state, nowMs);
      return false;
    case "listed":
      return applyList(state, { targets: event.targets, nowMs });
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
      return removeExpired(state, nowMs);
  }
}

function recordStoreAnswer(state: TargetTracker, nowMs: number): void {
  if (!state.isStoreLost) return;
  state.isStoreLost = false;
  state.graceUntilMs = nowMs + state.reregistrationMs +
    REREGISTRATION_MARGIN_MS;
}

function applyList(
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
  state.expiredUntilMs.delete(id);
  state.targets.set(id, target);
}

function supersede(state: TargetTracker, target: MemberTarget): boolean {
  state.superseded.set(target.id, target.revision);
  state.expiredUntilMs.delete(target.id);
  return state.targets.delete(target.id);
}

function removeTarget(
  state: TargetTracker,
  { id, nowMs }: { readonly id: string; readonly nowMs: number },
): boolean {
  const target = state.targets.get(id);
  if (target === undefined) return false;
  // The registration of a draining target was deleted on purpose.
  if (nowMs < state.graceUntilMs && !target.isDraining) {
    if (!state.expiredUntilMs.has(id)) {
      state.expiredUntilMs.set(id, state.graceUntilMs);
    }
    return false;
  }
  state.expiredUntilMs.delete(id);
  return state.targets.delete(id);
}

function removeExpired(state: TargetTracker, nowMs: number): boolean {
  let hasChanged = false;
  for (const [id, untilMs] of state.expiredUntilMs) {
    if (nowMs < untilMs) continue;
    state.expiredUntilMs.delete(id);
    state.targets.delete(id);
    hasChanged = true;
  }
  return hasChanged;
}
