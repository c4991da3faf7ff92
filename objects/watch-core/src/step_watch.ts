/**
 * State machine of a watch of the platform's objects. It lists all objects and
 * then watches for changes from the list's revision. A watch that breaks off is
 * resumed from the last delivered revision. If it cannot be resumed, or a line is
 * malformed or of an older revision, changes may be missing, and the objects are
 * listed again. A list older than the last delivered revision is discarded.
 */

import { createError } from "@dandelionbank/error";
import { parseWatchLine } from "@dandelionbank/parse-answers";
import type { ObjectList, Step } from "@dandelionbank/types";
import type { WatchEffect, WatchInput, WatchState } from "./watch_state.ts";

/** Longest delay of the first retry; it doubles with each further failure. */
const BASE_DELAY_MS = 200;
const MAX_DELAY_MS = 5_000;

type WatchStep = Step<WatchState, WatchEffect>;

export function stepWatch(state: WatchState, input: WatchInput): WatchStep {
  switch (input.type) {
    case "started":
      return startListing(state);
    case "listed":
      return handleList(state, input.list);
    case "listFailed":
      return scheduleRetry(state, { error: input.error, mustRelist: true });
    case "lineReceived":
      return handleLine(state, input.line);
    case "watchCompacted":
      return scheduleRetry(state, { mustRelist: true });
    case "watchFailed":
      return scheduleRetry(state, { error: input.error, mustRelist: false });
    case "timerFired":
      return handleTimer(state);
  }
}

function startListing(state: WatchState): WatchStep {
  return {
    state: { ...state, phase: "listing", mustRelist: true },
    effects: [{ type: "list" }],
  };
}

function handleList(state: WatchState, list: ObjectList): WatchStep {
  if (list.revision < (state.revision ?? 0)) {
    return scheduleRetry(state, {
      error: createOldRevisionError(list.revision, state),
      mustRelist: true,
    });
  }
  const watching = startWatching({ ...state, revision: list.revision });
  return {
    ...watching,
    effects: [
      { type: "emit", event: { type: "listed", list } },
      ...watching.effects,
    ],
  };
}

function startWatching(state: WatchState): WatchStep {
  return {
    state: { ...state, phase: "watching", mustRelist: false },
    effects: [
      { type: "openWatch", since: state.revision ?? 0 },
      startIdleTimer(state),
    ],
  };
}

function handleLine(state: WatchState, text: string): WatchStep {
  let line;
  try {
    line = parseWatchLine(text);
  } catch (error) {
    return closeAndRelist(state, error as Error);
  }
  if (line.type === "bookmark") {
    const { revision } = line;
    if (revision < (state.revision ?? 0)) {
      return closeAndRelist(state, createOldRevisionError(revision, state));
    }
    return deliver(state, { event: line, revision });
  }
  const { change } = line;
  const revision = change.type === "put"
    ? change.object.revision
    : change.revision;
  if (revision <= (state.revision ?? 0)) {
    return closeAndRelist(state, createOldRevisionError(revision, state));
  }
  return deliver(state, { event: { type: "changed", change }, revision });
}

function deliver(
  state: WatchState,
  delivery: Pick<Extract<WatchEffect, { type: "emit" }>, "event"> & {
    readonly revision: number;
  },
): WatchStep {
  const { event, revision } = delivery;
  return {
    state: { ...state, revision, failures: 0 },
    effects: [{ type: "emit", event }, startIdleTimer(state)],
  };
}

function closeAndRelist(state: WatchState, error: Error): WatchStep {
  const waiting = scheduleRetry(state, { error, mustRelist: true });
  return {
    ...waiting,
    effects: [{ type: "closeWatch" }, ...waiting.effects],
  };
}

/** Handles the idle timer of a watch, or the end of the wait before a retry. */
function handleTimer(state: WatchState): WatchStep {
  if (state.phase === "watching") return reopenIdleWatch(state);
  return state.mustRelist ? startListing(state) : startWatching(state);
}

function reopenIdleWatch(state: WatchState): WatchStep {
  const error = createError(
    `The watch received nothing for ${state.idleTimeoutMs} ms`,
    {
      code: "DANDELIONBANK_WATCH_SILENT",
      step: "watch objects",
      peer: "platform",
      hint: "No action needed: the watch is opened again",
    },
  );
  const waiting = scheduleRetry(state, { error, mustRelist: false });
  return {
    ...waiting,
    effects: [{ type: "closeWatch" }, ...waiting.effects],
  };
}

function scheduleRetry(
  state: WatchState,
  failure: { readonly error?: Error; readonly mustRelist: boolean },
): WatchStep {
  const { error, mustRelist } = failure;
  const maxDelayMs = Math.min(
    MAX_DELAY_MS,
    BASE_DELAY_MS * 2 ** state.failures,
  );
  const timer: WatchEffect = {
    type: "setTimer",
    minDelayMs: maxDelayMs / 2,
    maxDelayMs,
  };
  return {
    state: {
      ...state,
      phase: "waiting",
      mustRelist,
      failures: state.failures + 1,
    },
    effects: error === undefined
      ? [timer]
      : [{ type: "emit", event: { type: "unreachable", error } }, timer],
  };
}

function startIdleTimer({ idleTimeoutMs }: WatchState): WatchEffect {
  return {
    type: "setTimer",
    minDelayMs: idleTimeoutMs,
    maxDelayMs: idleTimeoutMs,
  };
}

function createOldRevisionError(revision: number, state: WatchState): Error {
  return createError(
    `The platform returned revision ${revision} after ${state.revision}`,
    {
      code: "DANDELIONBANK_PLATFORM_WENT_BACK",
      step: "watch objects",
      peer: "platform",
      hint: "If it persists, the store was reset: restart all processes",
    },
  );
}
