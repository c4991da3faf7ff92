/**
 * Admission control for streams to a group whose ranks advance in lockstep.
 *
 * Load pattern: bursts that exceed the group's batch capacity. Requests beyond
 * that capacity would queue inside the engines, where they cannot be reordered
 * and each one lengthens every pass of all ranks. Therefore an entry sends only
 * as many streams as the batches hold and queues the rest for a short time.
 *
 * Within a priority, streams whose first event can still meet its objective
 * start first, oldest first, followed by streams that are already late. A
 * stream that is not expected to start within its caller's patience is refused
 * with a retry time, if possible on arrival, instead of waiting in vain.
 */

import { RetryTimes } from "@dandelionbank/pace-requests";
import type { Step } from "@dandelionbank/types";

export interface StreamArrival {
  readonly type: "arrived";
  readonly id: string;
  readonly arrivedAtMs: number;
  /** Objective for the time from arrival to the first event. */
  readonly objectiveMs: number;
  /** How long the caller waits for the first event before it disconnects. */
  readonly patienceMs: number;
  /** 0 is the highest priority. */
  readonly priority: number;
}

export type AdmissionEvent =
  | StreamArrival
  /** An admitted stream has ended. */
  | { readonly type: "ended" }
  /** The caller of a queued stream has disconnected. */
  | { readonly type: "cancelled"; readonly id: string }
  /** The group's capacity, or its use by other entries, may have changed. */
  | {
    readonly type: "groupChanged";
    readonly capacity: number;
    /** Streams of other entries that run at the group. */
    readonly activeFromOtherEntries: number;
    /** Entries that share the group, this one included. */
    readonly entryCount: number;
    /**
     * Time until the group takes streams: 0 if it does now, infinite if all of
     * its targets leave.
     */
    readonly opensInMs: number;
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
  /** Expected mean run time of a stream; used until ends have been observed. */
  readonly expectedRunMs: number;
  /** Expected time from start to first event at a group with free capacity. */
  readonly expectedFirstEventMs: number;
}

interface QueuedStream {
  readonly arrival: StreamArrival;
  readonly latestStartMs: number;
}

/** Opaque; mutated in place. */
export interface AdmissionState {
  readonly options: AdmissionOptions;
  readonly queue: QueuedStream[];
  active: number;
  capacity: number;
  /** The latest capacity of the group while it took streams. */
  openCapacity: number;
  activeFromOtherEntries: number;
  entryCount: number;
  opensInMs: number;
  /** Staggers the callers that are refused while the group takes no streams. */
  readonly retryTimes: RetryTimes;
  /** Smoothed interval between the ends of two streams of this entry. */
  endIntervalMs: number | undefined;
  lastEndAtMs: number | undefined;
}

/**
 * Streams end at irregular times, so a pause counts as a stall only beyond this
 * many mean intervals.
 */
const STALL_THRESHOLD_INTERVALS = 6;
/** Weight of the latest interval in the moving average. */
const INTERVAL_WEIGHT = 0.15;
/** Minimum retry time of a refusal; prevents immediate retries. */
const MIN_RETRY_AFTER_MS = 100;

export function createAdmissionState(
  options: AdmissionOptions,
): AdmissionState {
  return {
    options,
    queue: [],
    active: 0,
    capacity: 1,
    openCapacity: 1,
    activeFromOtherEntries: 0,
    entryCount: 1,
    opensInMs: 0,
    retryTimes: RetryTimes.create(),
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
      return admitOrQueue(state, event, nowMs);
    case "ended":
      recordEnd(state, nowMs);
      return admitQueued(state, nowMs);
    case "cancelled":
      removeQueued(state, event.id);
      return [];
    case "groupChanged":
      state.capacity = event.capacity;
      if (event.capacity > 0) state.openCapacity = event.capacity;
      state.opensInMs = event.opensInMs;
      state.activeFromOtherEntries = event.activeFromOtherEntries;
      state.entryCount = event.entryCount;
      return admitQueued(state, nowMs);
    case "tick":
      return admitQueued(state, nowMs);
  }
}

function admitOrQueue(
  state: AdmissionState,
  arrival: StreamArrival,
  nowMs: number,
): readonly AdmissionEffect[] {
  if (state.queue.length === 0 && hasCapacity(state)) {
    state.active += 1;
    return [{ type: "admitted", id: arrival.id, waitedMs: 0 }];
  }
  const { expectedFirstEventMs } = state.options;
  const latestStartMs = arrival.arrivedAtMs + arrival.patienceMs -
    expectedFirstEventMs;
  const predictedWaitMs = predictWaitMs(state, nowMs);
  if (nowMs + predictedWaitMs > latestStartMs) {
    return [refuse(state, { id: arrival.id, predictedWaitMs, nowMs })];
  }
  state.queue.push({ arrival, latestStartMs });
  return admitQueued(state, nowMs);
}

/**
 * Reports whether one more stream may start. An entry whose share of the group
 * is at least one stream may always run one, whatever other entries run.
 */
function hasCapacity(state: AdmissionState): boolean {
  const ownShare = Math.floor(state.capacity / state.entryCount);
  if (state.active < Math.min(1, ownShare)) return true;
  return state.active + state.activeFromOtherEntries < state.capacity;
}

/** Expected time that a stream arriving now would spend in the queue. */
function predictWaitMs(state: AdmissionState, nowMs: number): number {
  const waitMs = (state.queue.length + 1) * estimateEndIntervalMs(state);
  return state.opensInMs + waitMs + estimateStallMs(state, nowMs);
}

/** Expected interval between two stream ends of this entry at a full group. */
function estimateEndIntervalMs(state: AdmissionState): number {
  const { expectedRunMs } = state.options;
  const ownShare = Math.max(1, state.openCapacity / state.entryCount);
  return state.endIntervalMs ?? expectedRunMs / ownShare;
}

/**
 * Expected remaining time of a stall, 0 if there is none. A stall begins when no
 * stream has ended for the threshold time, and is expected to last as long again
 * as it has lasted so far.
 */
function estimateStallMs(state: AdmissionState, nowMs: number): number {
  const { lastEndAtMs, active } = state;
  if (lastEndAtMs === undefined || active === 0) return 0;
  const overdueMs = nowMs - lastEndAtMs -
    STALL_THRESHOLD_INTERVALS * estimateEndIntervalMs(state);
  return Math.max(0, overdueMs);
}

function recordEnd(state: AdmissionState, nowMs: number): void {
  state.active = Math.max(0, state.active - 1);
  const { lastEndAtMs, endIntervalMs } = state;
  state.lastEndAtMs = nowMs;
  if (lastEndAtMs === undefined) return;
  // Streams end rarely while few run, so only a group with a queue is measured.
  const isFull = state.queue.length > 0;
  if (!isFull) return;
  const intervalMs = nowMs - lastEndAtMs;
  state.endIntervalMs = endIntervalMs === undefined
    ? intervalMs
    : endIntervalMs + (intervalMs - endIntervalMs) * INTERVAL_WEIGHT;
}

function admitQueued(
  state: AdmissionState,
  nowMs: number,
): readonly AdmissionEffect[] {
  const effects: AdmissionEffect[] = [];
  refuseExpired(state, { nowMs, effects });
  while (state.queue.length > 0 && hasCapacity(state)) {
    const [next] = state.queue.splice(selectNext(state, nowMs), 1);
    const { id, arrivedAtMs } = (next as QueuedStream).arrival;
    state.active += 1;
    effects.push({ type: "admitted", id, waitedMs: nowMs - arrivedAtMs });
  }
  return effects;
}

function refuseExpired(
  state: AdmissionState,
  { nowMs, effects }: {
    readonly nowMs: number;
    readonly effects: AdmissionEffect[];
  },
): void {
  const earliestStartMs = nowMs + state.opensInMs +
    estimateStallMs(state, nowMs);
  for (let index = state.queue.length - 1; index >= 0; index--) {
    const { arrival, latestStartMs } = state.queue[index] as QueuedStream;
    if (earliestStartMs <= latestStartMs) continue;
    state.queue.splice(index, 1);
    const predictedWaitMs = predictWaitMs(state, nowMs);
    effects.push(refuse(state, { id: arrival.id, predictedWaitMs, nowMs }));
  }
}

/**
 * Index of the next stream to start: the highest priority first, then streams
 * that can still meet their objective, then the oldest.
 */
function selectNext(state: AdmissionState, nowMs: number): number {
  const { expectedFirstEventMs } = state.options;
  let best = 0;
  let bestOrder = Number.POSITIVE_INFINITY;
  state.queue.forEach(({ arrival }, index) => {
    const { arrivedAtMs, objectiveMs, priority } = arrival;
    const isLate = nowMs + expectedFirstEventMs > arrivedAtMs + objectiveMs;
    const order = priority * 2 + (isLate ? 1 : 0);
    if (order >= bestOrder) return;
    best = index;
    bestOrder = order;
  });
  return best;
}

function removeQueued(state: AdmissionState, id: string): void {
  const index = state.queue.findIndex(({ arrival }) => arrival.id === id);
  if (index >= 0) state.queue.splice(index, 1);
}

function refuse(
  { opensInMs, retryTimes }: AdmissionState,
  { id, predictedWaitMs, nowMs }: {
    readonly id: string;
    readonly predictedWaitMs: number;
    readonly nowMs: number;
  },
): AdmissionEffect {
  const type = "refused";
  if (opensInMs === 0) {
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, predictedWaitMs);
    return { type, id, predictedWaitMs, retryAfterMs };
  }
  const retryAfterMs = retryTimes.spread(opensInMs, nowMs);
  return { type, id, predictedWaitMs: retryAfterMs, retryAfterMs };
}
