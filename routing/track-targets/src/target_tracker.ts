/**
 * Tracks the targets registered in the store. Normally a target is removed as
 * soon as its registration is. Registrations also expire during an outage of the
 * store, when targets cannot renew them. So a target whose registration is
 * missing right after an outage is kept until it has had time to register again;
 * otherwise the first list after the outage could empty a pool.
 *
 * The same holds for a store that came back from an older copy. Besides, such a
 * copy may list targets that have left, and draining targets as open. Such
 * registrations take effect only once they are written again; that of a target
 * that had left also if it is still listed long after, as the store removes the
 * registrations of silent targets. Targets that this process has not known before
 * take effect at once: they may have registered while the store was away from it.
 *
 * A restarted target may register under a new id at the same address, while its
 * old registration remains for some time. Among registrations with the same address,
 * the one written last takes effect. A registration whose address answers as
 * another target is ignored until it is written again. It may be another writer's:
 * the one that it had displaced takes effect again, as it does when the later one is
 * removed, and a registration for a service that is not served displaces none.
 */

import type { RegisteredTarget } from "@dandelionbank/types";

/** Allowance for the propagation from the store to this process. */
const REREGISTRATION_MARGIN_MS = 300;
/** Longer than the store keeps the registration of a target that has left. */
const HOLD_MS = 10_000;
/** Bounds the memory of targets that have left. */
const MAX_LEFT_TARGETS = 1_024;

/** A registration that takes effect if it is still listed later. */
interface HeldTarget {
  readonly target: RegisteredTarget;
  readonly releaseAtMs: number;
}

/** Opaque; mutated in place. */
export interface TargetTracker {
  readonly reregistrationMs: number;
  readonly targets: Map<string, RegisteredTarget>;
  /** Revisions of ignored registrations, by id; a later revision takes effect. */
  readonly ignoredRevisions: Map<string, number>;
  /** Registrations that a later one with the same address displaced, by id. */
  readonly displaced: Map<string, RegisteredTarget>;
  readonly isServed: (service: string) => boolean;
  /** Removal times of targets whose registration expired in an outage, by id. */
  readonly removeAtMs: Map<string, number>;
  /** Targets whose registration has ended, the latest last. */
  readonly leftIds: Set<string>;
  /** Registrations of such targets in an older copy of the store, by id. */
  readonly held: Map<string, HeldTarget>;
  /** Until this time, missing registrations are assumed to have expired. */
  graceUntilMs: number;
  isStoreLost: boolean;
}

export type TargetsEvent =
  | {
    readonly type: "listed";
    readonly targets: readonly RegisteredTarget[];
    /** True if the store has come back from an older copy since the last list. */
    readonly isRestored?: boolean;
  }
  | { readonly type: "put"; readonly target: RegisteredTarget }
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
  /** Returns false if requests never go to targets of the service. */
  readonly isServed: (service: string) => boolean;
}

export function createTargetTracker(
  { reregistrationMs, isServed }: TargetTrackerOptions,
): TargetTracker {
  return {
    reregistrationMs,
    isServed,
    targets: new Map(),
    ignoredRevisions: new Map(),
    displaced: new Map(),
    removeAtMs: new Map(),
    leftIds: new Set(),
    held: new Map(),
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
      if (state.isStoreLost) startGracePeriod(state, nowMs);
      state.isStoreLost = false;
      return false;
    case "listed":
      if (event.isRestored === true) prepareRestoredList(state, event, nowMs);
      return applyList(state, { targets: event.targets, nowMs });
    case "put":
      putTarget(state, event.target);
      return true;
    case "removed":
      state.ignoredRevisions.delete(event.id);
      state.displaced.delete(event.id);
      state.held.delete(event.id);
      recordLeft(state, event.id);
      return removeTarget(state, { id: event.id, nowMs });
    case "misdirected": {
      const target = state.targets.get(event.id);
      if (target === undefined) return false;
      ignoreRegistration(state, target);
      restoreDisplaced(state, target);
      return true;
    }
    case "tick": {
      const hasReleased = releaseHeld(state, nowMs);
      return removeExpired(state, nowMs) || hasReleased;
    }
  }
}

function startGracePeriod(state: TargetTracker, nowMs: number): void {
  state.graceUntilMs = nowMs + state.reregistrationMs +
    REREGISTRATION_MARGIN_MS;
}

function prepareRestoredList(
  state: TargetTracker,
  { targets }: { readonly targets: readonly RegisteredTarget[] },
  nowMs: number,
): void {
  startGracePeriod(state, nowMs);
  for (const target of targets) {
    const { id, revision, isDraining } = target;
    const known = state.targets.get(id);
    const isReopened = known?.isDraining === true && !isDraining;
    const hasLeft = known === undefined && state.leftIds.has(id);
    if (isReopened || hasLeft) state.ignoredRevisions.set(id, revision);
    if (hasLeft) state.held.set(id, { target, releaseAtMs: nowMs + HOLD_MS });
  }
}

/** Lets registrations take effect that the store has not removed meanwhile. */
function releaseHeld(state: TargetTracker, nowMs: number): boolean {
  let hasChanged = false;
  for (const [id, { target, releaseAtMs }] of state.held) {
    if (nowMs < releaseAtMs) continue;
    state.held.delete(id);
    state.ignoredRevisions.delete(id);
    putTarget(state, target);
    hasChanged = true;
  }
  return hasChanged;
}

function recordLeft({ leftIds }: TargetTracker, id: string): void {
  leftIds.delete(id);
  leftIds.add(id);
  const [oldest] = leftIds;
  if (leftIds.size > MAX_LEFT_TARGETS && oldest !== undefined) {
    leftIds.delete(oldest);
  }
}

function applyList(
  state: TargetTracker,
  { targets, nowMs }: {
    readonly targets: readonly RegisteredTarget[];
    readonly nowMs: number;
  },
): boolean {
  const listed = new Set(targets.map(({ id }) => id));
  for (const target of targets) putTarget(state, target);
  for (const id of [...state.ignoredRevisions.keys()]) {
    if (listed.has(id)) continue;
    state.ignoredRevisions.delete(id);
    state.displaced.delete(id);
  }
  for (const id of [...state.held.keys()]) {
    if (!listed.has(id)) state.held.delete(id);
  }
  for (const id of [...state.targets.keys()]) {
    if (!listed.has(id)) removeTarget(state, { id, nowMs });
  }
  return true;
}

function putTarget(state: TargetTracker, target: RegisteredTarget): void {
  const { id, address, revision } = target;
  const ignoredRevision = state.ignoredRevisions.get(id);
  if (ignoredRevision !== undefined && revision <= ignoredRevision) return;
  state.ignoredRevisions.delete(id);
  state.displaced.delete(id);
  state.held.delete(id);
  state.leftIds.delete(id);
  for (const other of [...state.targets.values()]) {
    if (other.id === id || other.address !== address) continue;
    if (other.revision > revision) {
      if (!state.isServed(other.service)) continue;
      state.ignoredRevisions.set(id, revision);
      state.displaced.set(id, target);
      return;
    }
    if (!state.isServed(target.service)) continue;
    ignoreRegistration(state, other);
    state.displaced.set(other.id, other);
  }
  state.removeAtMs.delete(id);
  state.targets.set(id, target);
}

function ignoreRegistration(
  state: TargetTracker,
  target: RegisteredTarget,
): void {
  state.ignoredRevisions.set(target.id, target.revision);
  state.removeAtMs.delete(target.id);
  state.targets.delete(target.id);
}

/** Puts the latest registration in effect that was displaced from the address. */
function restoreDisplaced(
  state: TargetTracker,
  { address }: RegisteredTarget,
): void {
  const [latest] = [...state.displaced.values()]
    .filter((target) => target.address === address)
    .toSorted((left, right) => right.revision - left.revision);
  if (latest === undefined) return;
  state.ignoredRevisions.delete(latest.id);
  putTarget(state, latest);
}

function removeTarget(
  state: TargetTracker,
  { id, nowMs }: { readonly id: string; readonly nowMs: number },
): boolean {
  const target = state.targets.get(id);
  if (target === undefined) return false;
  // The registration of a draining target was deleted on purpose.
  if (nowMs < state.graceUntilMs && !target.isDraining) {
    if (!state.removeAtMs.has(id)) {
      state.removeAtMs.set(id, state.graceUntilMs);
    }
    return false;
  }
  state.removeAtMs.delete(id);
  recordLeft(state, id);
  state.targets.delete(id);
  restoreDisplaced(state, target);
  return true;
}

function removeExpired(state: TargetTracker, nowMs: number): boolean {
  let hasChanged = false;
  for (const [id, dueMs] of state.removeAtMs) {
    if (nowMs < dueMs) continue;
    const target = state.targets.get(id);
    state.removeAtMs.delete(id);
    state.targets.delete(id);
    recordLeft(state, id);
    if (target !== undefined) restoreDisplaced(state, target);
    hasChanged = true;
  }
  return hasChanged;
}
