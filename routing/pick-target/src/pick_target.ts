/**
 * Picks the target of each attempt at one entry. An attempt goes to the target
 * that its prompt's prefix prefers, if that isn't loaded much beyond the mean,
 * and otherwise where the policy puts it among a bounded subset of the pool.
 * Targets that were tried already, that are closed or that said they refuse
 * are never picked; suspected ones only when nothing else is left.
 *
 * The state is opaque and changed in place; the same events and random numbers
 * give the same effects.
 */

import type { Step } from "@dandelionbank/types";
import { isAffinityBounded } from "./bound_affinity.ts";
import type { PlacementPolicy, RandomSource } from "./policies.ts";
import {
  createPolicy,
  DEFAULT_POLICY,
  LeastRequestsPolicy,
} from "./policies.ts";
import { TargetPool } from "./target_pool.ts";
import { TargetRecord } from "./target_record.ts";
import type {
  PickRefusalCode,
  PickRequested,
  PlacementEffect,
  PlacementEvent,
  PlacementTarget,
  TargetLost,
  TargetReplied,
} from "./types.ts";

const DEFAULT_SUBSET_SIZE = 48;
const SUSPICION_MS = 1_000;
const MAX_SUSPICION_MS = 30_000;
/** Told when no target is known; membership is looked at about as often. */
const EMPTY_RETRY_MS = 1_000;
const MIN_RETRY_MS = 10;

export interface PlacementOptions {
  /** This entry's name; entries choose different subsets by it. */
  readonly entry: string;
  readonly random: RandomSource;
  /** An unsigned 32-bit hash of a text. */
  readonly hash: (text: string) => number;
  readonly policy?: string;
  readonly subsetSize?: number;
}

/** Opaque; made by `createPlacementState`. */
export interface PlacementCoreState {
  readonly options: PlacementOptions;
  readonly entryHash: number;
  readonly targets: Map<string, TargetRecord>;
  readonly pools: Map<string, TargetPool>;
  readonly picks: Map<string, TargetRecord>;
  policy: PlacementPolicy;
}

export function createPlacementState(
  options: PlacementOptions,
): PlacementCoreState {
  return {
    options,
    entryHash: options.hash(options.entry),
    targets: new Map(),
    pools: new Map(),
    picks: new Map(),
    policy: createPolicy(options.policy ?? DEFAULT_POLICY) ??
      LeastRequestsPolicy.create(),
  };
}

export function pickTarget(
  state: PlacementCoreState,
  event: PlacementEvent,
  nowMs: number,
): Step<PlacementCoreState, PlacementEffect> {
  return { state, effects: applyEvent(state, event, nowMs) };
}

function applyEvent(
  state: PlacementCoreState,
  event: PlacementEvent,
  nowMs: number,
): readonly PlacementEffect[] {
  switch (event.type) {
    case "pickRequested":
      return pick(state, event, nowMs);
    case "targetReplied":
      return endPick(state, event, (target) => noteReply(target, event, nowMs));
    case "targetLost":
      return endPick(state, event, (target) => noteLoss(target, nowMs));
    case "loadReported":
      state.targets.get(event.target)?.report(event.load, nowMs);
      return [];
    case "targetsChanged":
      return replaceTargets(state, event.targets);
    case "policyChanged":
      if (event.policy === state.policy.name) return [];
      state.policy = createPolicy(event.policy) ?? state.policy;
      return [];
  }
}

function pick(
  state: PlacementCoreState,
  event: PickRequested,
  nowMs: number,
): readonly PlacementEffect[] {
  if (state.picks.has(event.attemptId)) {
    return [violation("attemptPickedOnce", event.attemptId)];
  }
  const pool = state.pools.get(event.pool);
  if (pool === undefined || pool.members.length === 0) {
    return [refuse(event, "DANDELIONBANK_POOL_EMPTY", EMPTY_RETRY_MS)];
  }
  const target = choose(state, { event, pool, nowMs });
  if (target === undefined) return [refuseBusy(event, pool, nowMs)];
  target.ownInFlight += 1;
  state.picks.set(event.attemptId, target);
  return [{
    type: "picked",
    attemptId: event.attemptId,
    target: target.name,
  }];
}

function choose(
  state: PlacementCoreState,
  { event, pool, nowMs }: {
    readonly event: PickRequested;
    readonly pool: TargetPool;
    readonly nowMs: number;
  },
): TargetRecord | undefined {
  const meanOthers = pool.meanOthers();
  const estimate = (target: TargetRecord) => target.estimate(meanOthers, nowMs);
  const mayChoose = (target: TargetRecord) =>
    target.isOpen(nowMs) && !event.exclude.includes(target.name);
  const isSound = (target: TargetRecord) =>
    mayChoose(target) && !target.isSuspected(nowMs);
  const candidates = firstFilled(
    () => pool.subset.filter(isSound),
    () => pool.members.filter(isSound),
    () => pool.members.filter(mayChoose),
  );
  if (candidates.length === 0) return undefined;
  const preferred = event.prefixHash === undefined
    ? undefined
    : pool.preferredFor(event.prefixHash, isSound);
  const mayPrefer = preferred !== undefined &&
    isAffinityBounded(preferred, { candidates, estimate });
  if (mayPrefer) return preferred;
  return state.policy.choose(candidates, {
    random: state.options.random,
    estimate,
  });
}

function firstFilled<T>(
  ...lists: readonly (() => readonly T[])[]
): readonly T[] {
  for (const list of lists) {
    const found = list();
    if (found.length > 0) return found;
  }
  return [];
}

function refuseBusy(
  event: PickRequested,
  pool: TargetPool,
  nowMs: number,
): PlacementEffect {
  const refusing = pool.members.filter((target) =>
    target.state !== "closed" && !event.exclude.includes(target.name)
  );
  if (refusing.length > 0) {
    const firstMs = Math.min(...refusing.map((t) => t.refusesUntilMs));
    return refuse(event, "DANDELIONBANK_POOL_BUSY", firstMs - nowMs);
  }
  const tried = pool.members.filter((target) => target.state !== "closed");
  if (tried.length === 0) {
    return refuse(event, "DANDELIONBANK_POOL_EMPTY", EMPTY_RETRY_MS);
  }
  const firstMs = Math.min(...tried.map((target) => target.refusesUntilMs));
  return refuse(event, "DANDELIONBANK_TARGETS_EXHAUSTED", firstMs - nowMs);
}

function refuse(
  event: PickRequested,
  code: PickRefusalCode,
  retryAfterMs: number,
): PlacementEffect {
  return {
    type: "refused",
    attemptId: event.attemptId,
    code,
    retryAfterMs: Math.max(MIN_RETRY_MS, Math.ceil(retryAfterMs)),
  };
}

function endPick(
  state: PlacementCoreState,
  { attemptId }: TargetReplied | TargetLost,
  note: (target: TargetRecord) => void,
): readonly PlacementEffect[] {
  const target = state.picks.get(attemptId);
  if (target === undefined) return [violation("attemptEndsOnce", attemptId)];
  state.picks.delete(attemptId);
  target.ownInFlight -= 1;
  note(target);
  if (target.ownInFlight >= 0) return [];
  target.ownInFlight = 0;
  return [violation("inFlightNotNegative", target.name)];
}

function noteReply(
  target: TargetRecord,
  event: TargetReplied,
  nowMs: number,
): void {
  if (event.load !== undefined) target.report(event.load, nowMs);
  target.refusesUntilMs = event.refusedForMs === undefined
    ? 0
    : nowMs + event.refusedForMs;
  target.suspectedUntilMs = 0;
  target.losses = 0;
}

/** Each loss in a row doubles the time for which the target is a last resort. */
function noteLoss(target: TargetRecord, nowMs: number): void {
  const suspicionMs = Math.min(
    MAX_SUSPICION_MS,
    SUSPICION_MS * 2 ** target.losses,
  );
  target.losses += 1;
  target.suspectedUntilMs = nowMs + suspicionMs;
}

function replaceTargets(
  state: PlacementCoreState,
  targets: readonly PlacementTarget[],
): readonly PlacementEffect[] {
  const known = new Map(state.targets);
  for (const record of state.picks.values()) known.set(record.name, record);
  state.targets.clear();
  state.pools.clear();
  for (const { name, pool, state: targetState } of targets) {
    const before = known.get(name);
    const record = before?.pool === pool ? before : TargetRecord.create({
      name,
      pool,
      nameHash: state.options.hash(name),
    });
    record.state = targetState;
    state.targets.set(name, record);
    poolOf(state, pool).add(record);
  }
  const { entryHash } = state;
  const subsetSize = state.options.subsetSize ?? DEFAULT_SUBSET_SIZE;
  for (const pool of state.pools.values()) pool.rank({ entryHash, subsetSize });
  return [];
}

function poolOf(state: PlacementCoreState, name: string): TargetPool {
  const known = state.pools.get(name);
  if (known !== undefined) return known;
  const created = TargetPool.create();
  state.pools.set(name, created);
  return created;
}

function violation(invariant: string, detail: string): PlacementEffect {
  return { type: "invariantViolated", invariant, detail };
}
