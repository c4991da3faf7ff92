/**
 * Finds the request that crashes its targets.
 *
 * A dying target takes down whatever it ran, so one loss blames nobody. A
 * fingerprint with two lost targets is held at once, and judged a while later,
 * when every entry has told what it lost. It is to blame if no other one was
 * lost with two of the same targets, or if it ran on one of them as the only
 * suspect and nothing else that is suspected of two was lost there. What merely
 * ran beside it has one loss, and is tried elsewhere, apart from suspects. What
 * a target has answered is not to blame for the losses of that time: many callers
 * may send the same request, so that some of them run on every target that dies.
 *
 * The state is changed in place and returned. The time never goes back.
 */

import type { Step } from "@dandelionbank/types";
import type {
  QuarantineEffect,
  QuarantineEvent,
  QuarantineOptions,
  TargetLoss,
  Verdict,
} from "./events.ts";

/** So many lost targets and no answer are proof, whatever ran beside it. */
const CERTAIN_LOSSES = 3;

interface RememberedLoss {
  readonly atMs: number;
  readonly alone: boolean;
}

interface Suspicion {
  /** By target. */
  readonly losses: Map<string, RememberedLoss>;
  quarantinedUntilMs: number;
  /** When its latest loss may be judged; `undefined` if that is done. */
  judgeAtMs: number | undefined;
  /** When a target last answered it; its losses count no more for a time. */
  answeredAtMs: number | undefined;
}

/** Opaque to callers. */
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
  handle(context, event);
  return { state, effects: context.effects };
}

/** How a request with this fingerprint is to be treated. */
export function evaluateFingerprint(
  state: QuarantineState,
  fingerprint: string,
): Verdict {
  const suspicion = state.suspicions.get(fingerprint);
  if (suspicion === undefined) return { kind: "clear" };
  const { judgeAtMs, quarantinedUntilMs, losses, answeredAtMs } = suspicion;
  if (answeredAtMs !== undefined) return { kind: "clear" };
  const held = judgeAtMs !== undefined && losses.size > 1;
  const untilMs = Math.max(quarantinedUntilMs, held ? judgeAtMs : 0);
  const leftMs = untilMs - state.nowMs;
  if (leftMs > 0) return { kind: "quarantined", retryAfterMs: leftMs };
  const rememberedMs = rememberedSinceMs(suspicion);
  const clearInMs = rememberedMs + state.options.retentionMs - state.nowMs;
  const avoid = [...losses.keys()];
  return { kind: "suspect", avoid, clearInMs: Math.max(0, clearInMs) };
}

/** From then on the suspicion is kept for the time of memory. */
function rememberedSinceMs(suspicion: Suspicion): number {
  const { losses, quarantinedUntilMs, answeredAtMs } = suspicion;
  if (answeredAtMs !== undefined) return answeredAtMs;
  return quarantinedUntilMs > 0
    ? quarantinedUntilMs
    : Math.max(0, ...[...losses.values()].map(({ atMs }) => atMs));
}

function handle(context: Context, event: QuarantineEvent): void {
  switch (event.type) {
    case "targetLost":
      context.effects.push({ type: "broadcastLosses", losses: event.losses });
      return addLosses(context, event.losses);
    case "lossesReported":
      return addLosses(context, event.losses);
    case "quarantineReported":
      return hold(context, suspicionOf(context, event.fingerprint));
    case "answered":
      return acquit(context, event.fingerprint);
    case "tick":
      judgeSettled(context);
      return forgetOld(context);
  }
}

function addLosses(context: Context, losses: readonly TargetLoss[]): void {
  const { nowMs, state } = context;
  for (const { fingerprint, target, alone } of losses) {
    const suspicion = suspicionOf(context, fingerprint);
    if (suspicion.answeredAtMs !== undefined) continue;
    if (suspicion.losses.has(target)) continue;
    suspicion.losses.set(target, { atMs: nowMs, alone });
    suspicion.judgeAtMs = nowMs + state.options.settleMs;
  }
}

function judgeSettled(context: Context): void {
  const { state, nowMs, effects } = context;
  for (const [fingerprint, suspicion] of state.suspicions) {
    const { judgeAtMs } = suspicion;
    if (judgeAtMs === undefined || judgeAtMs > nowMs) continue;
    suspicion.judgeAtMs = undefined;
    if (suspicion.quarantinedUntilMs > nowMs) continue;
    if (!isToBlame(context, { fingerprint, suspicion })) continue;
    hold(context, suspicion);
    const targets = [...suspicion.losses.keys()];
    effects.push({ type: "quarantine", fingerprint, targets });
  }
}

interface Suspect {
  readonly fingerprint: string;
  readonly suspicion: Suspicion;
}

function isToBlame(context: Context, suspect: Suspect): boolean {
  const { losses } = suspect.suspicion;
  if (losses.size < 2) return false;
  if (losses.size >= CERTAIN_LOSSES) return true;
  const others = [...context.state.suspicions]
    .filter(([fingerprint]) => fingerprint !== suspect.fingerprint)
    .map(([, suspicion]) => suspicion)
    .filter((other) => other.losses.size > 1);
  const ranAlone = [...losses].some(([target, { alone }]) =>
    alone && !others.some((other) => other.losses.has(target))
  );
  return ranAlone || !others.some((other) => countShared(losses, other) > 1);
}

/** Only what is suspected is remembered as answered. */
function acquit({ state, nowMs }: Context, fingerprint: string): void {
  const suspicion = state.suspicions.get(fingerprint);
  if (suspicion === undefined) return;
  suspicion.losses.clear();
  suspicion.quarantinedUntilMs = 0;
  suspicion.judgeAtMs = undefined;
  suspicion.answeredAtMs = nowMs;
}

function countShared(
  losses: ReadonlyMap<string, RememberedLoss>,
  other: Suspicion,
): number {
  let shared = 0;
  for (const target of other.losses.keys()) {
    if (losses.has(target)) shared += 1;
  }
  return shared;
}

function hold(context: Context, suspicion: Suspicion): void {
  if (suspicion.answeredAtMs !== undefined) return;
  const untilMs = context.nowMs + context.state.options.quarantineMs;
  suspicion.quarantinedUntilMs = untilMs;
}

/**
 * A fingerprint that comes out of quarantine stays a suspect with one loss, so
 * that its next one is enough.
 */
function forgetOld(context: Context): void {
  const { state, nowMs } = context;
  const { suspicions, options } = state;
  for (const [fingerprint, suspicion] of suspicions) {
    const { losses, quarantinedUntilMs } = suspicion;
    if (quarantinedUntilMs > nowMs || suspicion.judgeAtMs !== undefined) {
      continue;
    }
    for (const target of [...losses.keys()].slice(1)) {
      if (quarantinedUntilMs > 0) losses.delete(target);
    }
    if (nowMs - rememberedSinceMs(suspicion) >= options.retentionMs) {
      suspicions.delete(fingerprint);
    }
  }
}

function suspicionOf(context: Context, fingerprint: string): Suspicion {
  const { suspicions, options } = context.state;
  const known = suspicions.get(fingerprint);
  if (known !== undefined) return known;
  if (suspicions.size >= options.maxFingerprints) dropOldest(context);
  const suspicion: Suspicion = {
    losses: new Map(),
    quarantinedUntilMs: 0,
    judgeAtMs: undefined,
    answeredAtMs: undefined,
  };
  suspicions.set(fingerprint, suspicion);
  return suspicion;
}

/** Makes room at the cost of the oldest that is not quarantined. */
function dropOldest(context: Context): void {
  const { suspicions } = context.state;
  for (const [fingerprint, { quarantinedUntilMs }] of suspicions) {
    if (quarantinedUntilMs > context.nowMs) continue;
    suspicions.delete(fingerprint);
    return;
  }
  const [oldest] = suspicions.keys();
  if (oldest !== undefined) suspicions.delete(oldest);
}
