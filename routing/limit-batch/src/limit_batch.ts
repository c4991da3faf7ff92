/**
 * Limits the batches of a group so that its passes fit into the longest pause
 * that is on time.
 *
 * Load pattern: sustained load above what a group can run. A pass takes longer
 * the more requests it has, and with uneven experts longer again by up to three
 * times. With full batches then every stream pauses too long and is late, while
 * somewhat smaller ones keep nearly all on time and give up less than that in
 * throughput. Demand for experts jumps every few seconds, so the slowness of the
 * last few seconds counts, not that of the moment.
 *
 * A stall, as when a rank is lost or a pass is held, says nothing about load and
 * is left out, as is a rank that is many times as slow: smaller batches would
 * not help.
 */

import type { EngineProfile } from "@dandelionbank/types";

/** Pauses of so long are taken together; several passes. */
const WINDOW_MS = 300;
/** Part of the objective that a pass may take; the longest are some 0.15 more. */
const OBJECTIVE_SHARE = 0.8;
/** A pause of so many objectives is a stall. */
const STALL_OBJECTIVES = 3;
/** Weight of a window that is slower than known. */
const RISE_WEIGHT = 0.7;
/** Some times as long as demand for experts stays the same. */
const DECAY_MS = 8_000;
/**
 * Never less than this part of the places: below, throughput falls faster than
 * passes get shorter, and callers would be turned away from a group half empty.
 */
const MIN_SHARE = 0.6;

/** Opaque; changed in place. */
export interface BatchLimit {
  readonly profile: EngineProfile;
  gapsMs: number[];
  windowSinceMs: number | undefined;
  /** How much slower than an even group; undefined before the first window. */
  slowdown: number | undefined;
}

export function createBatchLimit(profile: EngineProfile): BatchLimit {
  return {
    profile,
    gapsMs: [],
    windowSinceMs: undefined,
    slowdown: undefined,
  };
}

/** A stream of the group has paused so long between two events. */
export function noteGap(
  state: BatchLimit,
  { gapMs, objectiveMs, batch, nowMs }: {
    readonly gapMs: number;
    /** The longest pause that is on time. */
    readonly objectiveMs: number;
    /** Requests that each rank runs, on average. */
    readonly batch: number;
    readonly nowMs: number;
  },
): void {
  state.windowSinceMs ??= nowMs;
  state.gapsMs.push(gapMs);
  const elapsedMs = nowMs - state.windowSinceMs;
  if (elapsedMs < WINDOW_MS) return;
  const passMs = median(state.gapsMs);
  state.gapsMs = [];
  state.windowSinceMs = nowMs;
  if (passMs > STALL_OBJECTIVES * objectiveMs) return;
  const slowdown = passMs / evenPassMs(state.profile, batch);
  const known = state.slowdown ?? slowdown;
  const weight = slowdown > known
    ? RISE_WEIGHT
    : 1 - Math.exp(-elapsedMs / DECAY_MS);
  state.slowdown = known + (slowdown - known) * weight;
}

/** Part of the group's places that may be taken, up to 1. */
export function readBatchShare(
  { profile, slowdown }: BatchLimit,
  objectiveMs: number,
): number {
  if (slowdown === undefined || slowdown <= 0) return 1;
  const { stepMs, stepPerRequestMs, stepsPerPass, maxBatch } = profile;
  if (stepPerRequestMs <= 0 || maxBatch <= 0) return 1;
  const stepLimitMs = OBJECTIVE_SHARE * objectiveMs / slowdown / stepsPerPass;
  const batch = (stepLimitMs - stepMs) / stepPerRequestMs;
  return Math.min(1, Math.max(MIN_SHARE, batch / maxBatch));
}

function evenPassMs(
  { stepMs, stepPerRequestMs, stepsPerPass, maxBatch }: EngineProfile,
  batch: number,
): number {
  const running = Math.min(maxBatch, Math.max(1, batch));
  return stepsPerPass * (stepMs + stepPerRequestMs * running);
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
