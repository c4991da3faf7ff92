/**
 * Picks the target of each attempt at one entry. An attempt goes to the target
 * preferred for its prompt prefix, unless that target's load is well above the
 * mean. Otherwise the placement policy chooses from a bounded subset of the
 * pool. Targets that are excluded, closed or currently refusing are never
 * picked; suspected targets are picked only as a last resort.
 *
 * The state is opaque and mutated in place; the same events and random numbers
 * produce the same effects.
 */

import type { Step } from "@dandelionbank/types";
import { isWithinAffinityBounds } from "./affinity_bounds.ts";
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
  SendLimits,
  TargetLost,
  TargetReplied,
} from "./types.ts";

/** Number of targets of a pool over which an entry distributes its requests. */
const DEFAULT_SUBSET_SIZE = 48;
/** Time for which a target is suspected after its first loss. */
const BASE_SUSPICION_MS = 1_000;
const MAX_SUSPICION_MS = 30_000;
/** Retry time when a pool has no targets; membership changes about as often. */
const EMPTY_RETRY_MS = 1_000;
const MIN_RETRY_MS = 10;

export interface PlacementOptions {
  /** This entry's name; it determines the entry's subset of each pool. */
  readonly entry: string;
  readonly random: RandomSource;
  /** Returns an unsigned 32-bit hash of a string. */
  readonly hash: (text: string) => number;
  readonly policy?: string;
  readonly subsetSize?: number;
  /** What targets have announced; nothing if absent. */
  readonly limits?: SendLimits;
}

/** Opaque; created by `createPlacementState`. */
export interface PlacementState {
  readonly options: PlacementOptions;
  readonly entryHash: number;
  readonly targets: Map<string, TargetRecord>;
  readonly pools: Map<string, TargetPool>;
  readonly picks: Map<string, TargetRecord>;
  policy: PlacementPolicy;
}

export function createPlacementState(
  options: PlacementOptions,
): PlacementState {
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

export function stepPlacement(
  state: PlacementState,
  event: PlacementEvent,
  nowMs: number,
): Step<PlacementState, PlacementEffect> {
  return { state, effects: applyEvent(state, event, nowMs) };
}

function applyEvent(
  state: PlacementState,
  event: PlacementEvent,
  nowMs: number,
): readonly PlacementEffect[] {
  switch (event.type) {
    case "pickRequested":
      return pick(state, event, nowMs);
    case "targetReplied":
      return endPick(
        state,
        event,
        (target) => recordReply(target, event, nowMs),
      );
    case "targetLost":
      return endPick(state, event, (target) => recordLoss(target, nowMs));
    case "loadReported":
      state.targets.get(event.target)?.recordLoad(event.load, nowMs);
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
  state: PlacementState,
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
  const target = chooseTarget(state, { event, pool, nowMs });
  if (target === undefined) {
    return [refuseUnavailable(state, { event, pool, nowMs })];
  }
  target.ownInFlight += 1;
  state.options.limits?.recordSend(target.name, nowMs);
  state.picks.set(event.attemptId, target);
  return [{
    type: "picked",
    attemptId: event.attemptId,
    target: target.name,
  }];
}

function chooseTarget(
  state: PlacementState,
  { event, pool, nowMs }: {
    readonly event: PickRequested;
    readonly pool: TargetPool;
    readonly nowMs: number;
  },
): TargetRecord | undefined {
  const meanFromOthers = pool.meanFromOthers();
  const estimate = (target: TargetRecord) =>
    target.estimate(meanFromOthers, nowMs);
  const { exclude } = event;
  const isAvailable = (target: TargetRecord) =>
    takesRequest(state, target, { exclude, nowMs });
  const isHealthy = (target: TargetRecord) =>
    isAvailable(target) && !target.isSuspected(nowMs);
  const candidates = firstNonEmpty(
    () => pool.subset.filter(isHealthy),
    () => pool.members.filter(isHealthy),
    () => pool.members.filter(isAvailable),
  );
  if (candidates.length === 0) return undefined;
  const preferred = event.prefixHash === undefined
    ? undefined
    : pool.preferredFor(event.prefixHash, isHealthy);
  const usePreferred = preferred !== undefined &&
    isWithinAffinityBounds(preferred, { candidates, estimate });
  if (usePreferred) return preferred;
  return state.policy.choose(candidates, {
    random: state.options.random,
    estimate,
  });
}

function firstNonEmpty<T>(
  ...lists: readonly (() => readonly T[])[]
): readonly T[] {
  for (const list of lists) {
    const candidates = list();
    if (candidates.length > 0) return candidates;
  }
  return [];
}

/**
 * Returns true if a target of the pool that is not among those tried takes a
 * request now.
 */
export function hasAvailableTarget(
  state: PlacementState,
  { pool, exclude }: {
    readonly pool: string;
    readonly exclude: readonly string[];
  },
  nowMs: number,
): boolean {
  const members = state.pools.get(pool)?.members ?? [];
  return members.some((target) =>
    takesRequest(state, target, { exclude, nowMs })
  );
}

/**
 * Assigns the time after which a refused caller may return: undefined if a target
 * of the pool takes a request now, or if the pool has no open target.
 */
export function assignRetryMs(
  state: PlacementState,
  poolName: string,
  nowMs: number,
): number | undefined {
  const pool = state.pools.get(poolName);
  if (pool === undefined) return undefined;
  const request = { pool: poolName, exclude: [] };
  if (hasAvailableTarget(state, request, nowMs)) return undefined;
  const targets = pool.members.filter((member) => isOpen(state, member));
  return targets.length === 0
    ? undefined
    : assignReturn(state, { pool, targets, nowMs });
}

/** Staggers the refused callers over the time from which targets are available. */
function assignReturn(
  state: PlacementState,
  { pool, targets, nowMs }: {
    readonly pool: TargetPool;
    readonly targets: readonly TargetRecord[];
    readonly nowMs: number;
  },
): number {
  const waitMs = Math.min(
    ...targets.map((target) => readWaitMs(state, target, nowMs)),
  );
  const sharePerMs = sumShares(state, targets);
  if (sharePerMs === undefined) return pool.retryTimes.spread(waitMs, nowMs);
  const stepMs = sharePerMs === 0 ? 0 : 1 / sharePerMs;
  return pool.retryTimes.next({ waitMs, stepMs }, nowMs);
}

/** Returns true if the target takes new requests at all. */
function isOpen({ options }: PlacementState, target: TargetRecord): boolean {
  return target.state !== "closed" && !options.limits?.isLeaving(target.name);
}

/** Returns true if a request that has tried `exclude` may go to the target now. */
function takesRequest(
  state: PlacementState,
  target: TargetRecord,
  { exclude, nowMs }: {
    readonly exclude: readonly string[];
    readonly nowMs: number;
  },
): boolean {
  return isUntried(state, target, exclude) &&
    readWaitMs(state, target, nowMs) === 0;
}

function isUntried(
  state: PlacementState,
  target: TargetRecord,
  tried: readonly string[],
): boolean {
  return isOpen(state, target) && !tried.includes(target.name);
}

/** Time until the target accepts an attempt of this entry. */
function readWaitMs(
  { options }: PlacementState,
  target: TargetRecord,
  nowMs: number,
): number {
  const limitMs = options.limits?.readDelayMs(target.name, nowMs) ?? 0;
  return Math.max(0, target.refusesUntilMs - nowMs, limitMs);
}

/**
 * Refuses a pick for which no target is available, until the first target
 * accepts attempts again. The code tells whether the request has tried all
 * targets already.
 */
function refuseUnavailable(
  state: PlacementState,
  { event, pool, nowMs }: {
    readonly event: PickRequested;
    readonly pool: TargetPool;
    readonly nowMs: number;
  },
): PlacementEffect {
  const untried = pool.members.filter((target) =>
    isUntried(state, target, event.exclude)
  );
  if (untried.length > 0) {
    const retryAfterMs = assignReturn(state, { pool, targets: untried, nowMs });
    return refuse(event, "DANDELIONBANK_POOL_BUSY", retryAfterMs);
  }
  const open = pool.members.filter((target) => isOpen(state, target));
  if (open.length === 0) {
    const { limits } = state.options;
    const areLeaving = pool.members.some(({ name }) => limits?.isLeaving(name));
    const code = areLeaving
      ? "DANDELIONBANK_POOL_BUSY"
      : "DANDELIONBANK_POOL_EMPTY";
    return refuse(event, code, EMPTY_RETRY_MS);
  }
  const earliestMs = Math.min(...open.map((target) => target.refusesUntilMs));
  return refuse(event, "DANDELIONBANK_TARGETS_EXHAUSTED", earliestMs - nowMs);
}

/** Sums this entry's shares of the targets' limits; undefined without limits. */
function sumShares(
  { options }: PlacementState,
  targets: readonly TargetRecord[],
): number | undefined {
  const shares = targets.flatMap(({ name }) =>
    options.limits?.readSharePerMs(name) ?? []
  );
  if (shares.length === 0) return undefined;
  return shares.reduce((sum, share) => sum + share, 0);
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
  state: PlacementState,
  { attemptId }: TargetReplied | TargetLost,
  update: (target: TargetRecord) => void,
): readonly PlacementEffect[] {
  const target = state.picks.get(attemptId);
  if (target === undefined) return [violation("attemptEndsOnce", attemptId)];
  state.picks.delete(attemptId);
  target.ownInFlight -= 1;
  update(target);
  if (target.ownInFlight >= 0) return [];
  target.ownInFlight = 0;
  return [violation("inFlightNotNegative", target.name)];
}

function recordReply(
  target: TargetRecord,
  event: TargetReplied,
  nowMs: number,
): void {
  if (event.load !== undefined) target.recordLoad(event.load, nowMs);
  target.refusesUntilMs = event.refusedForMs === undefined
    ? 0
    : nowMs + event.refusedForMs;
  target.suspectedUntilMs = 0;
  target.consecutiveLosses = 0;
}

/** Suspects the target; each consecutive loss doubles the suspicion time. */
function recordLoss(target: TargetRecord, nowMs: number): void {
  const suspicionMs = Math.min(
    MAX_SUSPICION_MS,
    BASE_SUSPICION_MS * 2 ** target.consecutiveLosses,
  );
  target.consecutiveLosses += 1;
  target.suspectedUntilMs = nowMs + suspicionMs;
}

function replaceTargets(
  state: PlacementState,
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
    getOrCreatePool(state, pool).add(record);
  }
  const { entryHash } = state;
  const subsetSize = state.options.subsetSize ?? DEFAULT_SUBSET_SIZE;
  for (const pool of state.pools.values()) {
    pool.selectSubset({ entryHash, subsetSize });
  }
  return [];
}

function getOrCreatePool(state: PlacementState, name: string): TargetPool {
  const known = state.pools.get(name);
  if (known !== undefined) return known;
  const created = TargetPool.create();
  state.pools.set(name, created);
  return created;
}

function violation(invariant: string, detail: string): PlacementEffect {
  return { type: "invariantViolated", invariant, detail };
}
