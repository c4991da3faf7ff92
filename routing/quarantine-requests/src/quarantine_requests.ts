/**
 * Identifies requests that crash their targets. A request is identified by its
 * fingerprint, as its caller repeats it under a new key.
 *
 * A crashing target fails everything that it runs, so a single loss identifies no
 * culprit. A fingerprint with two lost targets is refused at once and evaluated
 * after the settle time, when every entry has reported its losses. It is the
 * culprit if no other fingerprint shares two of its lost targets, or if it ran on
 * one of them as the only suspect and no other fingerprint with two losses was
 * lost there. Fingerprints that only ran alongside it have one loss and are
 * retried on other targets, apart from suspects.
 *
 * A fingerprint that a target has answered is not the culprit of the losses of
 * that time: if many callers send the same request, some of them run on every
 * target that crashes.
 *
 * The state is mutated in place and returned. Time is monotonic.
 */

import type { Step } from "@dandelionbank/types";
import type {
  QuarantineEffect,
  QuarantineEvent,
  QuarantineOptions,
  TargetLoss,
  Verdict,
} from "./events.ts";

/** Number of lost targets without an answer that identifies a culprit alone. */
const CONCLUSIVE_LOSSES = 3;

interface RecordedLoss {
  readonly atMs: number;
  readonly alone: boolean;
}

interface Suspicion {
  /** Losses by target. */
  readonly losses: Map<string, RecordedLoss>;
  quarantinedUntilMs: number;
  /** When to evaluate the latest loss; `undefined` if that was done. */
  evaluateAtMs: number | undefined;
  /** Time of the latest answer; until it expires, losses are ignored. */
  answeredAtMs: number | undefined;
}

/** Opaque; mutated in place. */
export interface QuarantineState {
  readonly options: QuarantineOptions;
  readonly suspicions: Map<string, Suspicion>;
  nowMs: number;
}

interface Context {
  readonly state: QuarantineState;
  readonly nowMs: number;
  readonly effects: QuarantineEffect[];
}

export function createQuarantineState(
  options: QuarantineOptions,
): QuarantineState {
  return { options, suspicions: new Map(), nowMs: 0 };
}

export function step(
  state: QuarantineState,
  event: QuarantineEvent,
  nowMs: number,
): Step<QuarantineState, QuarantineEffect> {
  state.nowMs = Math.max(state.nowMs, nowMs);
  const context: Context = { state, nowMs: state.nowMs, effects: [] };
  handleEvent(context, event);
  return { state, effects: context.effects };
}

/** Returns how to treat a request with this fingerprint. */
export function evaluateFingerprint(
  state: QuarantineState,
  fingerprint: string,
): Verdict {
  const suspicion = state.suspicions.get(fingerprint);
  if (suspicion === undefined) return { kind: "clear" };
  const { evaluateAtMs, quarantinedUntilMs, losses, answeredAtMs } = suspicion;
  if (answeredAtMs !== undefined) return { kind: "clear" };
  const isPending = evaluateAtMs !== undefined && losses.size > 1;
  const untilMs = Math.max(quarantinedUntilMs, isPending ? evaluateAtMs : 0);
  const waitMs = untilMs - state.nowMs;
  if (waitMs > 0) return { kind: "quarantined", retryAfterMs: waitMs };
  const startMs = retentionStartMs(suspicion);
  const clearInMs = startMs + state.options.retentionMs - state.nowMs;
  const avoid = [...losses.keys()];
  return { kind: "suspect", avoid, clearInMs: Math.max(0, clearInMs) };
}

/** Returns the start of the suspicion's retention time. */
function retentionStartMs(suspicion: Suspicion): number {
  const { losses, quarantinedUntilMs, answeredAtMs } = suspicion;
  if (answeredAtMs !== undefined) return answeredAtMs;
  return quarantinedUntilMs > 0
    ? quarantinedUntilMs
    : Math.max(0, ...[...losses.values()].map(({ atMs }) => atMs));
}

function handleEvent(context: Context, event: QuarantineEvent): void {
  switch (event.type) {
    case "targetLost":
      context.effects.push({ type: "broadcastLosses", losses: event.losses });
      return addLosses(context, event.losses);
    case "lossesReported":
      return addLosses(context, event.losses);
    case "quarantineReported":
      return quarantine(
        context,
        getOrCreateSuspicion(context, event.fingerprint),
      );
    case "answered":
      return clearSuspicion(context, event.fingerprint);
    case "tick":
      evaluateSettled(context);
      return removeExpired(context);
  }
}

function addLosses(context: Context, losses: readonly TargetLoss[]): void {
  const { nowMs, state } = context;
  for (const { fingerprint, target, alone } of losses) {
    const suspicion = getOrCreateSuspicion(context, fingerprint);
    if (suspicion.answeredAtMs !== undefined) continue;
    if (suspicion.losses.has(target)) continue;
    suspicion.losses.set(target, { atMs: nowMs, alone });
    suspicion.evaluateAtMs = nowMs + state.options.settleMs;
  }
}

function evaluateSettled(context: Context): void {
  const { state, nowMs, effects } = context;
  for (const [fingerprint, suspicion] of state.suspicions) {
    const { evaluateAtMs } = suspicion;
    if (evaluateAtMs === undefined || evaluateAtMs > nowMs) continue;
    suspicion.evaluateAtMs = undefined;
    if (suspicion.quarantinedUntilMs > nowMs) continue;
    if (!isCulprit(context, { fingerprint, suspicion })) continue;
    quarantine(context, suspicion);
    const targets = [...suspicion.losses.keys()];
    effects.push({ type: "quarantine", fingerprint, targets });
  }
}

interface Suspect {
  readonly fingerprint: string;
  readonly suspicion: Suspicion;
}

function isCulprit(context: Context, suspect: Suspect): boolean {
  const { losses } = suspect.suspicion;
  if (losses.size < 2) return false;
  if (losses.size >= CONCLUSIVE_LOSSES) return true;
  const others = [...context.state.suspicions]
    .filter(([fingerprint]) => fingerprint !== suspect.fingerprint)
    .map(([, suspicion]) => suspicion)
    .filter((other) => other.losses.size > 1);
  const ranAlone = [...losses].some(([target, { alone }]) =>
    alone && !others.some((other) => other.losses.has(target))
  );
  return ranAlone || !others.some((other) => countShared(losses, other) > 1);
}

/** Clears a suspicion. Answers to fingerprints without one are not stored. */
function clearSuspicion({ state, nowMs }: Context, fingerprint: string): void {
  const suspicion = state.suspicions.get(fingerprint);
  if (suspicion === undefined) return;
  suspicion.losses.clear();
  suspicion.quarantinedUntilMs = 0;
  suspicion.evaluateAtMs = undefined;
  suspicion.answeredAtMs = nowMs;
}

function countShared(
  losses: ReadonlyMap<string, RecordedLoss>,
  other: Suspicion,
): number {
  let shared = 0;
  for (const target of other.losses.keys()) {
    if (losses.has(target)) shared += 1;
  }
  return shared;
}

function quarantine(context: Context, suspicion: Suspicion): void {
  if (suspicion.answeredAtMs !== undefined) return;
  const untilMs = context.nowMs + context.state.options.quarantineMs;
  suspicion.quarantinedUntilMs = untilMs;
}

/**
 * Removes expired suspicions. A fingerprint that leaves quarantine stays a
 * suspect with one loss, so that one more loss quarantines it again.
 */
function removeExpired(context: Context): void {
  const { state, nowMs } = context;
  const { suspicions, options } = state;
  for (const [fingerprint, suspicion] of suspicions) {
    const { losses, quarantinedUntilMs } = suspicion;
    if (quarantinedUntilMs > nowMs || suspicion.evaluateAtMs !== undefined) {
      continue;
    }
    for (const target of [...losses.keys()].slice(1)) {
      if (quarantinedUntilMs > 0) losses.delete(target);
    }
    if (nowMs - retentionStartMs(suspicion) >= options.retentionMs) {
      suspicions.delete(fingerprint);
    }
  }
}

function getOrCreateSuspicion(
  context: Context,
  fingerprint: string,
): Suspicion {
  const { suspicions, options } = context.state;
  const known = suspicions.get(fingerprint);
  if (known !== undefined) return known;
  if (suspicions.size >= options.maxFingerprints) evictOldest(context);
  const suspicion: Suspicion = {
    losses: new Map(),
    quarantinedUntilMs: 0,
    evaluateAtMs: undefined,
    answeredAtMs: undefined,
  };
  suspicions.set(fingerprint, suspicion);
  return suspicion;
}

/** Evicts the oldest suspicion, preferring one that is not quarantined. */
function evictOldest(context: Context): void {
  const { suspicions } = context.state;
  for (const [fingerprint, { quarantinedUntilMs }] of suspicions) {
    if (quarantinedUntilMs > context.nowMs) continue;
    suspicions.delete(fingerprint);
    return;
  }
  const [oldest] = suspicions.keys();
  if (oldest !== undefined) suspicions.delete(oldest);
}
