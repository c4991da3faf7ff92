/**
 * Distributes the platform's objects to all processes. A process's view is its
 * copy of the objects at one revision. The first few entries of the list watch
 * the platform. Every other process pulls from a parent: entries form a tree
 * below the watchers, agents pull from any entry. A process pushes changes at
 * once to those that pulled from it recently. A process whose view ages also
 * pulls from other entries and finally reads the platform itself. The highest
 * revision wins, and a process's revision never decreases.
 *
 * A process whose view isn't fresh accepts no new work, unless the platform is
 * unreachable for all, since then it can't have accepted any changes.
 */

import type {
  Step,
  ViewDelta,
  ViewMessage,
  ViewPull,
  ViewReply,
} from "@dandelionbank/types";
import type { SpreadEffect, SpreadEvent } from "./events.ts";
import type { SpreadState } from "./spread_state.ts";
import { listWatchers } from "./spread_state.ts";
import { createPull, pollSources } from "./poll_sources.ts";
import { FRESHNESS_MS, SUBSCRIPTION_MS } from "./timing.ts";

/** Whether new work may be accepted at `nowMs`. */
export function mayAcceptWork(state: SpreadState, nowMs: number): boolean {
  if (state.table.revision === 0) return false;
  return state.freshness.isFresh(nowMs) ||
    state.freshness.isUnreachableForAll(listWatchers(state), nowMs);
}

/** Time until which the view counts as fresh without further evidence. */
export function freshUntilMs(state: SpreadState): number {
  return state.freshness.freshAtMs + FRESHNESS_MS;
}

export function stepSpread(
  state: SpreadState,
  event: SpreadEvent,
  nowMs: number,
): Step<SpreadState, SpreadEffect> {
  const before = state.table.revision;
  const effects = applyEvent(state, event, nowMs);
  if (state.table.revision >= before) return { state, effects };
  const detail = `${before} to ${state.table.revision}`;
  const invariant = "revisionNeverDown";
  return {
    state,
    effects: [{ type: "invariantViolated", invariant, detail }],
  };
}

function applyEvent(
  state: SpreadState,
  event: SpreadEvent,
  nowMs: number,
): readonly SpreadEffect[] {
  switch (event.type) {
    case "received":
      return receive(state, event.message, nowMs);
    case "entriesChanged":
      state.entries = event.entries;
      return updateWatching(state);
    case "platformRead":
      return applyPlatformRead(state, event, nowMs);
    case "revisionRead":
      return applyRevisionRead(state, event, nowMs);
    case "readFailed":
      state.freshness.recordFailedRead(event.askedAtMs);
      if (state.watching) {
        const { askedAtMs } = event;
        const watchers = listWatchers(state);
        state.freshness.claimOutage(state.options.name, {
          askedAtMs,
          watchers,
        });
      }
      return [];
    case "watchDelivered":
      return applyDelta(state, event.delta, nowMs);
    case "tick":
      return pollSources(state, nowMs);
  }
}

function receive(
  state: SpreadState,
  message: ViewMessage,
  nowMs: number,
): readonly SpreadEffect[] {
  switch (message.type) {
    case "viewPull":
      return replyToPull(state, message, nowMs);
    case "viewReply":
      return applyReply(state, message, nowMs);
    case "viewPush":
      return applyDelta(state, message.delta, nowMs, message.from);
  }
}

function replyToPull(
  state: SpreadState,
  pull: ViewPull,
  nowMs: number,
): readonly SpreadEffect[] {
  const { table, freshness } = state;
  state.subscribers.set(pull.from, nowMs);
  const outage = freshness.listCurrentClaims(nowMs).map((claim) => ({
    watcher: claim.watcher,
    ageMs: nowMs - claim.asOfMs,
    sinceAgeMs: nowMs - claim.sinceMs,
  }));
  const isKnown = freshness.freshAtMs > -Infinity;
  const message: ViewReply = {
    type: "viewReply",
    from: state.options.name,
    incarnation: pull.incarnation,
    sequence: pull.sequence,
    revision: table.revision,
    outage,
    ...(isKnown ? { ageMs: nowMs - freshness.freshAtMs } : {}),
    ...(pull.revision < table.revision
      ? { delta: table.createDeltaSince(pull.revision) }
      : {}),
  };
  return [{ type: "send", to: pull.from, message }];
}

function applyReply(
  state: SpreadState,
  message: ViewReply,
  nowMs: number,
): readonly SpreadEffect[] {
  if (message.incarnation !== state.options.incarnation) return [];
  const sentAtMs = state.sentAtMs.get(message.sequence);
  if (sentAtMs === undefined) return [];
  state.sentAtMs.delete(message.sequence);
  const effects = message.delta === undefined
    ? []
    : applyDelta(state, message.delta, nowMs, message.from);
  for (const { watcher, ageMs, sinceAgeMs } of message.outage) {
    const asOfMs = sentAtMs - ageMs;
    const sinceMs = sentAtMs - sinceAgeMs;
    state.freshness.recordClaim({ watcher, asOfMs, sinceMs });
  }
  if (message.ageMs === undefined) return effects;
  const asOfMs = sentAtMs - message.ageMs;
  recordEvidence(state, { asOfMs, revision: message.revision });
  return effects;
}

/**
 * Applies a delta and pushes it to subscribers; after a gap, pulls from its
 * sender. A complete list isn't pushed: processes that need it pull it.
 */
function applyDelta(
  state: SpreadState,
  delta: ViewDelta,
  nowMs: number,
  from?: string,
): readonly SpreadEffect[] {
  const since = state.table.revision;
  const changes = state.table.apply(delta);
  if (changes === undefined) {
    if (from !== undefined) return [createPull(state, from, nowMs)];
    state.behindSinceMs = Math.min(state.behindSinceMs, nowMs);
    return [];
  }
  if (state.table.revision === since) return [];
  state.freshness.recordRevision(state.table.revision);
  state.behindSinceMs = Infinity;
  const { revision } = state.table;
  const advanced: SpreadEffect = { type: "viewAdvanced", revision, changes };
  if (delta.since === undefined) return [advanced];
  const pushed = { since, revision, changes };
  return [advanced, ...pushToSubscribers(state, pushed, { from, nowMs })];
}

function pushToSubscribers(
  state: SpreadState,
  delta: ViewDelta,
  { from, nowMs }: {
    readonly from: string | undefined;
    readonly nowMs: number;
  },
): readonly SpreadEffect[] {
  const message: ViewMessage = {
    type: "viewPush",
    from: state.options.name,
    delta,
  };
  return [...state.subscribers]
    .filter(([name, pulledAtMs]) =>
      name !== from && nowMs < pulledAtMs + SUBSCRIPTION_MS
    )
    .map(([to]) => ({ type: "send", to, message }));
}

/** Ignores stale reads: those with a lower revision than known at their start. */
function applyPlatformRead(
  state: SpreadState,
  { askedAtMs, delta }: {
    readonly askedAtMs: number;
    readonly delta: ViewDelta;
  },
  nowMs: number,
): readonly SpreadEffect[] {
  if (delta.revision < state.revisionAtRead) return [];
  const effects = applyDelta(state, delta, nowMs);
  recordEvidence(state, { asOfMs: askedAtMs, revision: delta.revision });
  return effects;
}

function applyRevisionRead(
  state: SpreadState,
  { askedAtMs, revision }: {
    readonly askedAtMs: number;
    readonly revision: number;
  },
  nowMs: number,
): readonly SpreadEffect[] {
  if (revision < state.revisionAtRead) return [];
  recordEvidence(state, { asOfMs: askedAtMs, revision });
  if (revision <= state.table.revision) return [];
  state.behindSinceMs = Math.min(state.behindSinceMs, nowMs);
  return [];
}

function recordEvidence(
  state: SpreadState,
  evidence: { readonly asOfMs: number; readonly revision: number },
): void {
  state.freshness.recordEvidence(evidence, state.table.revision);
}

function updateWatching(state: SpreadState): readonly SpreadEffect[] {
  const watching = listWatchers(state).includes(state.options.name);
  if (watching === state.watching) return [];
  state.watching = watching;
  return [{ type: "watchChanged", watching }];
}
