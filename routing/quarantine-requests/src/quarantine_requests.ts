/**
 * Finds the request that crashes its targets.
 *
 * A dying target takes down whatever it ran, so one loss blames nobody. A
 * fingerprint is quarantined after the loss of two different targets, if it ran
 * on one of them as the only suspect, or if no other fingerprint was lost with
 * both. Whatever else was lost with the second target has one loss, and what
 * was lost with the first is tried elsewhere, apart from other suspects.
 *
 * The state is changed in place and returned. The time never goes back.
 */

import type { Step } from "@dandelionbank/types";
import type {
  Loss,
  QuarantineEffect,
  QuarantineEvent,
  QuarantineOptions,
  Verdict,
} from "./events.ts";

interface RememberedLoss {
  readonly atMs: number;
  readonly alone: boolean;
}

interface Suspicion {
  /** By target. */
  readonly losses: Map<string, RememberedLoss>;
  quarantinedUntilMs: number;
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
export function judge(state: QuarantineState, fingerprint: string): Verdict {
  const suspicion = state.suspicions.get(fingerprint);
  if (suspicion === undefined) return { kind: "clear" };
  const leftMs = suspicion.quarantinedUntilMs - state.nowMs;
  return leftMs > 0
    ? { kind: "quarantined", retryAfterMs: leftMs }
    : { kind: "suspect" };
}

function handle(context: Context, event: QuarantineEvent): void {
  switch (event.type) {
    case "targetLost":
      context.effects.push({ type: "tellLosses", losses: event.losses });
      return addLosses(context, event.losses);
    case "lossesTold":
      return addLosses(context, event.losses);
    case "quarantineTold":
      return hold(context, suspicionOf(context, event.fingerprint));
    case "tick":
      return forgetOld(context);
  }
}

/** All are remembered before any is judged, since they are compared. */
function addLosses(context: Context, losses: readonly Loss[]): void {
  for (const { fingerprint, target, alone } of losses) {
    const known = suspicionOf(context, fingerprint).losses;
    if (!known.has(target)) known.set(target, { atMs: context.nowMs, alone });
  }
  const fingerprints = new Set(losses.map(({ fingerprint }) => fingerprint));
  for (const fingerprint of fingerprints) {
    const suspicion = context.state.suspicions.get(fingerprint);
    if (suspicion === undefined) continue;
    if (suspicion.quarantinedUntilMs > context.nowMs) continue;
    if (!isToBlame(context, { fingerprint, suspicion })) continue;
    hold(context, suspicion);
    const targets = [...suspicion.losses.keys()];
    context.effects.push({ type: "quarantine", fingerprint, targets });
  }
}

function isToBlame(
  context: Context,
  suspect: { readonly fingerprint: string; readonly suspicion: Suspicion },
): boolean {
  const { losses } = suspect.suspicion;
  if (losses.size < 2) return false;
  const ranAlone = [...losses.values()].some(({ alone }) => alone);
  return ranAlone || isOnlyOne(context, suspect);
}

/** Whether no other fingerprint was lost with two of the same targets. */
function isOnlyOne(
  context: Context,
  suspect: { readonly fingerprint: string; readonly suspicion: Suspicion },
): boolean {
  for (const [fingerprint, other] of context.state.suspicions) {
    if (fingerprint === suspect.fingerprint) continue;
    let shared = 0;
    for (const target of other.losses.keys()) {
      if (suspect.suspicion.losses.has(target)) shared += 1;
    }
    if (shared >= 2) return false;
  }
  return true;
}

function hold(context: Context, suspicion: Suspicion): void {
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
    if (quarantinedUntilMs > nowMs) continue;
    for (const target of [...losses.keys()].slice(1)) {
      if (quarantinedUntilMs > 0) losses.delete(target);
    }
    const rememberedMs = quarantinedUntilMs > 0
      ? quarantinedUntilMs
      : Math.max(0, ...[...losses.values()].map(({ atMs }) => atMs));
    if (nowMs - rememberedMs >= options.memoryMs) {
      suspicions.delete(fingerprint);
    }
  }
}

function suspicionOf(context: Context, fingerprint: string): Suspicion {
  const { suspicions, options } = context.state;
  const known = suspicions.get(fingerprint);
  if (known !== undefined) return known;
  if (suspicions.size >= options.maxFingerprints) dropOldest(context);
  const suspicion: Suspicion = { losses: new Map(), quarantinedUntilMs: 0 };
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
