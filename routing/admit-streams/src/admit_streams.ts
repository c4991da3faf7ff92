/**
 * Admission of streams to a group whose ranks advance together.
 *
 * Load pattern: bursts above what the group can write at a time. Beyond its
 * batches, work queues inside the engines, where its order cannot be changed
 * and each request makes every pass of all ranks longer. So no more is sent
 * than fills the batches; what comes beyond waits here for a short time. Those
 * whose first event can still be on time go first, oldest first; then those
 * that are late already. A request that cannot start before its caller's
 * patience ends is refused when it comes, with the time at which there may be
 * room, instead of waiting in vain.
 */

import type { Step } from "@dandelionbank/types";

export interface StreamArrival {
  readonly type: "arrived";
  readonly id: string;
  readonly arrivedAtMs: number;
  /** Time within which a first event is on time. */
  readonly objectiveMs: number;
  /** How long the caller waits for the first event. */
  readonly patienceMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
}

export type AdmissionEvent =
  | StreamArrival
  /** An admitted stream has ended. */
  | { readonly type: "ended" }
  /** A stream that waits is wanted no longer. */
  | { readonly type: "cancelled"; readonly id: string }
  /** What the group takes at a time, and what others have there. */
  | {
    readonly type: "groupChanged";
    readonly capacity: number;
    readonly activeFromOtherEntries: number;
    /** Entries that share the group, this one included. */
    readonly entryCount: number;
  }
  | { readonly type: "tick" };

export type AdmissionEffect =
  | {
    readonly type: "admitted";
    readonly id: string;
    readonly waitedMs: number;
  }
  | {
    readonly type: "refused";
    readonly id: string;
    readonly retryAfterMs: number;
    readonly predictedWaitMs: number;
  };

export interface AdmissionOptions {
  /** Mean time that a stream is expected to run, before any has ended. */
  readonly expectedRunMs: number;
  /** Time from the start to the first event, on a group that is not full. */
  readonly expectedFirstMs: number;
}

interface Waiting {
  readonly arrival: StreamArrival;
  readonly latestStartMs: number;
}

/** Opaque; changed in place. */
export interface AdmissionState {
  readonly options: AdmissionOptions;
  readonly waiting: Waiting[];
  active: number;
  capacity: number;
  activeFromOtherEntries: number;
  entryCount: number;
  /** Mean time between two ends here, smoothed. */
  endIntervalMs: number | undefined;
  lastEndAtMs: number | undefined;
}

/** Ends are uneven; a gap of so many mean intervals is no stall yet. */
const STALL_INTERVALS = 6;
/** Weight of the newest interval between two ends. */
const INTERVAL_WEIGHT = 0.15;
/** Retry-After of a refusal is at least this, so that nobody comes at once. */
const MIN_RETRY_AFTER_MS = 100;

export function createAdmissionState(
  options: AdmissionOptions,
): AdmissionState {
  return {
    options,
    waiting: [],
    active: 0,
    capacity: 1,
    activeFromOtherEntries: 0,
    entryCount: 1,
    endIntervalMs: undefined,
    lastEndAtMs: undefined,
  };
}

export function stepAdmission(
  state: AdmissionState,
  event: AdmissionEvent,
  nowMs: number,
): Step<AdmissionState, AdmissionEffect> {
  return { state, effects: applyEvent(state, event, nowMs) };
}

function applyEvent(
  state: AdmissionState,
  event: AdmissionEvent,
  nowMs: number,
): readonly AdmissionEffect[] {
  switch (event.type) {
    case "arrived":
      return arrive(state, event, nowMs);
    case "ended":
      noteEnd(state, nowMs);
      return admitWaiting(state, nowMs);
    case "cancelled":
      removeWaiting(state, event.id);
      return [];
    case "groupChanged":
      state.capacity = event.capacity;
      state.activeFromOtherEntries = event.activeFromOtherEntries;
      state.entryCount = event.entryCount;
      return admitWaiting(state, nowMs);
    case "tick":
      return admitWaiting(state, nowMs);
  }
}

function arrive(
  state: AdmissionState,
  arrival: StreamArrival,
  nowMs: number,
): readonly AdmissionEffect[] {
  if (state.waiting.length === 0 && hasRoom(state)) {
    state.active += 1;
    return [{ type: "admitted", id: arrival.id, waitedMs: 0 }];
  }
  const { expectedFirstMs } = state.options;
  const latestStartMs = arrival.arrivedAtMs + arrival.patienceMs -
    expectedFirstMs;
  const predictedWaitMs = predictWait(state, nowMs);
  if (nowMs + predictedWaitMs > latestStartMs) {
    return [refuse(arrival.id, predictedWaitMs)];
  }
  state.waiting.push({ arrival, latestStartMs });
  return admitWaiting(state, nowMs);
}

/** Own share of the group is always open, however much the others have. */
function hasRoom(state: AdmissionState): boolean {
  const ownShare = Math.floor(state.capacity / state.entryCount);
  if (state.active < Math.min(1, ownShare)) return true;
  return state.active + state.activeFromOtherEntries < state.capacity;
}

/** How long one that comes now would wait for those before it. */
function predictWait(state: AdmissionState, nowMs: number): number {
  const waitMs = (state.waiting.length + 1) * expectInterval(state);
  return waitMs + expectStall(state, nowMs);
}

/** Time between two ends at a full group. */
function expectInterval(state: AdmissionState): number {
  const { expectedRunMs } = state.options;
  const ownShare = Math.max(1, state.capacity / state.entryCount);
  return state.endIntervalMs ?? expectedRunMs / ownShare;
}

/**
 * A full group in which nothing has ended for longer than usual is expected to
 * go on so for as long again.
 */
function expectStall(state: AdmissionState, nowMs: number): number {
  const { lastEndAtMs, active } = state;
  if (lastEndAtMs === undefined || active === 0) return 0;
  const overdueMs = nowMs - lastEndAtMs -
    STALL_INTERVALS * expectInterval(state);
  return Math.max(0, overdueMs);
}

function noteEnd(state: AdmissionState, nowMs: number): void {
  state.active = Math.max(0, state.active - 1);
  const { lastEndAtMs, endIntervalMs } = state;
  state.lastEndAtMs = nowMs;
  if (lastEndAtMs === undefined) return;
  // Ends are rare while little runs; that says nothing of a full group.
  const isFull = state.waiting.length > 0;
  if (!isFull) return;
  const intervalMs = nowMs - lastEndAtMs;
  state.endIntervalMs = endIntervalMs === undefined
    ? intervalMs
    : endIntervalMs + (intervalMs - endIntervalMs) * INTERVAL_WEIGHT;
}

function admitWaiting(
  state: AdmissionState,
  nowMs: number,
): readonly AdmissionEffect[] {
  const effects: AdmissionEffect[] = [];
  dropHopeless(state, { nowMs, effects });
  while (state.waiting.length > 0 && hasRoom(state)) {
    const [next] = state.waiting.splice(pickNext(state, nowMs), 1);
    const { id, arrivedAtMs } = (next as Waiting).arrival;
    state.active += 1;
    effects.push({ type: "admitted", id, waitedMs: nowMs - arrivedAtMs });
  }
  return effects;
}

function dropHopeless(
  state: AdmissionState,
  { nowMs, effects }: {
    readonly nowMs: number;
    readonly effects: AdmissionEffect[];
  },
): void {
  const soonestMs = nowMs + expectStall(state, nowMs);
  for (let index = state.waiting.length - 1; index >= 0; index--) {
    const { arrival, latestStartMs } = state.waiting[index] as Waiting;
    if (soonestMs <= latestStartMs) continue;
    state.waiting.splice(index, 1);
    effects.push(refuse(arrival.id, predictWait(state, nowMs)));
  }
}

/** The oldest that can be on time, else the oldest; urgent ones first. */
function pickNext(state: AdmissionState, nowMs: number): number {
  const { expectedFirstMs } = state.options;
  let best = 0;
  let bestRank = Number.POSITIVE_INFINITY;
  state.waiting.forEach(({ arrival }, index) => {
    const { arrivedAtMs, objectiveMs, priority } = arrival;
    const isLate = nowMs + expectedFirstMs > arrivedAtMs + objectiveMs;
    const rank = priority * 2 + (isLate ? 1 : 0);
    if (rank >= bestRank) return;
    best = index;
    bestRank = rank;
  });
  return best;
}

function removeWaiting(state: AdmissionState, id: string): void {
  const index = state.waiting.findIndex(({ arrival }) => arrival.id === id);
  if (index >= 0) state.waiting.splice(index, 1);
}

function refuse(id: string, predictedWaitMs: number): AdmissionEffect {
  return {
    type: "refused",
    id,
    predictedWaitMs,
    retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, predictedWaitMs),
  };
}
