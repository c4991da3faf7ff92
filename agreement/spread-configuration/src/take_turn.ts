/** Whom a process asks, and when: its parent, then others, then the platform. */

import type { SpreadEffect } from "./events.ts";
import type { SpreadState } from "./spread_state.ts";
import { watchersOf } from "./spread_state.ts";
import {
  ASK_ELSEWHERE_MS,
  DIRECT_READ_MS,
  FAN_OUT,
  FRESH_MS,
  OUTAGE_READ_MS,
  PULL_MS,
  READ_DIRECTLY_MS,
  SUBSCRIBED_MS,
  WATCH_LAG_MS,
  WATCHER_COUNT,
} from "./timing.ts";

/** Pulls, and reads the platform, as far as either is due. */
export function takeTurn(
  state: SpreadState,
  nowMs: number,
): readonly SpreadEffect[] {
  forgetOld(state, nowMs);
  const ageMs = nowMs - state.freshness.freshAtMs;
  const effects: SpreadEffect[] = [];
  if (isReadDue(state, { ageMs, nowMs })) {
    effects.push(readPlatform(state, nowMs));
  }
  if (nowMs < state.pulledAtMs + PULL_MS) return effects;
  state.pulledAtMs = nowMs;
  const parent = parentOf(state);
  if (parent !== undefined) effects.push(pullFrom(state, parent, nowMs));
  if (ageMs < ASK_ELSEWHERE_MS) return effects;
  const other = anotherEntry(state, parent);
  if (other !== undefined) effects.push(pullFrom(state, other, nowMs));
  return effects;
}

function isReadDue(
  state: SpreadState,
  { ageMs, nowMs }: { readonly ageMs: number; readonly nowMs: number },
): boolean {
  const sinceReadMs = nowMs - state.readAtMs;
  if (state.watching) return sinceReadMs >= PULL_MS;
  const { freshness } = state;
  if (freshness.isClaimedOut(watchersOf(state), nowMs)) {
    return sinceReadMs >= OUTAGE_READ_MS;
  }
  return ageMs >= READ_DIRECTLY_MS && sinceReadMs >= DIRECT_READ_MS;
}

/**
 * Reads the platform's revision, or all objects if there are none yet or if
 * a watch hasn't brought a revision that was read a while ago.
 */
function readPlatform(state: SpreadState, nowMs: number): SpreadEffect {
  const isBehind = nowMs >= state.behindSinceMs + WATCH_LAG_MS;
  state.readAtMs = nowMs;
  state.knownAtRead = state.table.revision;
  const whole = isBehind || state.table.revision === 0;
  return { type: "readPlatform", whole };
}

export function pullFrom(
  state: SpreadState,
  to: string,
  nowMs: number,
): SpreadEffect {
  const sequence = state.sequence++;
  state.sentAtMs.set(sequence, nowMs);
  const { revision } = state.table;
  const { name: from, incarnation } = state.options;
  return {
    type: "send",
    to,
    message: { type: "viewPull", from, incarnation, sequence, revision },
  };
}

/** An agent, and an entry that isn't listed yet, takes any entry. */
function parentOf(state: SpreadState): string | undefined {
  const { entries, options } = state;
  const index = entries.indexOf(options.name);
  if (index < 0) return entries[options.turn % entries.length];
  if (index < WATCHER_COUNT) return anotherEntry(state, undefined);
  return entries[Math.floor((index - WATCHER_COUNT) / FAN_OUT)];
}

/** Takes the entries in turn, each process from a place of its own. */
function anotherEntry(
  state: SpreadState,
  except: string | undefined,
): string | undefined {
  const others = state.entries.filter((name) =>
    name !== state.options.name && name !== except
  );
  return others[(state.options.turn + state.sequence) % others.length];
}

function forgetOld(state: SpreadState, nowMs: number): void {
  for (const [sequence, sentAtMs] of state.sentAtMs) {
    if (nowMs >= sentAtMs + FRESH_MS) state.sentAtMs.delete(sequence);
  }
  for (const [name, pulledAtMs] of state.subscribers) {
    if (nowMs >= pulledAtMs + SUBSCRIBED_MS) state.subscribers.delete(name);
  }
}
