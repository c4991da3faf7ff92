/**
 * Decides when a process polls which source for changes: its parent, then other
 * entries, then the platform.
 */

import type { SpreadEffect } from "./events.ts";
import type { SpreadState } from "./spread_state.ts";
import { listWatchers } from "./spread_state.ts";
import {
  DIRECT_READ_AGE_MS,
  DIRECT_READ_INTERVAL_MS,
  FAN_OUT,
  FRESHNESS_MS,
  MAX_WATCH_LAG_MS,
  OUTAGE_READ_INTERVAL_MS,
  PULL_INTERVAL_MS,
  SECOND_PULL_AGE_MS,
  SUBSCRIPTION_MS,
  WATCHER_COUNT,
} from "./timing.ts";

/** Pulls from entries and reads the platform, each if due. */
export function pollSources(
  state: SpreadState,
  nowMs: number,
): readonly SpreadEffect[] {
  removeExpired(state, nowMs);
  const ageMs = nowMs - state.freshness.freshAtMs;
  const effects: SpreadEffect[] = [];
  if (isReadDue(state, { ageMs, nowMs })) {
    effects.push(createPlatformRead(state, nowMs));
  }
  if (nowMs < state.pulledAtMs + PULL_INTERVAL_MS) return effects;
  state.pulledAtMs = nowMs;
  const parent = selectParent(state);
  if (parent !== undefined) effects.push(createPull(state, parent, nowMs));
  if (ageMs < SECOND_PULL_AGE_MS) return effects;
  const otherEntry = selectOtherEntry(state, parent);
  if (otherEntry !== undefined) {
    effects.push(createPull(state, otherEntry, nowMs));
  }
  return effects;
}

function isReadDue(
  state: SpreadState,
  { ageMs, nowMs }: { readonly ageMs: number; readonly nowMs: number },
): boolean {
  const sinceReadMs = nowMs - state.readAtMs;
  if (state.watching) return sinceReadMs >= PULL_INTERVAL_MS;
  const { freshness } = state;
  if (freshness.isOutageClaimedByMajority(listWatchers(state), nowMs)) {
    return sinceReadMs >= OUTAGE_READ_INTERVAL_MS;
  }
  return ageMs >= DIRECT_READ_AGE_MS && sinceReadMs >= DIRECT_READ_INTERVAL_MS;
}

/**
 * Reads the platform's revision, or all objects if none are known yet or if the
 * watch has not delivered a revision that was read some time ago.
 */
function createPlatformRead(state: SpreadState, nowMs: number): SpreadEffect {
  const isBehind = nowMs >= state.behindSinceMs + MAX_WATCH_LAG_MS;
  state.readAtMs = nowMs;
  state.revisionAtRead = state.table.revision;
  const listAll = isBehind || state.table.revision === 0;
  return { type: "readPlatform", listAll };
}

export function createPull(
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

/** Selects the entry to pull from; agents and unlisted entries may use any. */
function selectParent(state: SpreadState): string | undefined {
  const { entries, options } = state;
  const index = entries.indexOf(options.name);
  if (index < 0) return entries[options.pollOffset % entries.length];
  if (index < WATCHER_COUNT) return selectOtherEntry(state, undefined);
  return entries[Math.floor((index - WATCHER_COUNT) / FAN_OUT)];
}

/** Selects entries round-robin, starting at a different one in each process. */
function selectOtherEntry(
  state: SpreadState,
  except: string | undefined,
): string | undefined {
  const others = state.entries.filter((name) =>
    name !== state.options.name && name !== except
  );
  return others[(state.options.pollOffset + state.sequence) % others.length];
}

function removeExpired(state: SpreadState, nowMs: number): void {
  for (const [sequence, sentAtMs] of state.sentAtMs) {
    if (nowMs >= sentAtMs + FRESHNESS_MS) state.sentAtMs.delete(sequence);
  }
  for (const [name, pulledAtMs] of state.subscribers) {
    if (nowMs >= pulledAtMs + SUBSCRIPTION_MS) state.subscribers.delete(name);
  }
}
