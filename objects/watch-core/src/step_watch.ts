/**
 * Decides when to list, to watch and to wait. It lists first and then watches
 * from the list's revision. A watch that breaks is resumed from the last
 * revision delivered; if it can't be, or if a line is malformed or goes back,
 * changes may be missing, so everything is listed again. A list older than
 * what was delivered is never passed on.
 */

import { createError } from "@dandelionbank/error";
import { parseWatchLine } from "@dandelionbank/parse-answers";
import type { ObjectList, Step } from "@dandelionbank/types";
import type { WatchEffect, WatchInput, WatchState } from "./watch_state.ts";

const BASE_DELAY_MS = 200;
const LONGEST_DELAY_MS = 5_000;

type WatchStep = Step<WatchState, WatchEffect>;

export function stepWatch(state: WatchState, input: WatchInput): WatchStep {
  switch (input.type) {
    case "started":
      return startListing(state);
    case "listed":
      return takeList(state, input.list);
    case "listFailed":
      return waitAfter(state, { error: input.error, mustList: true });
    case "lineRead":
      return takeLine(state, input.line);
    case "watchCompacted":
      return waitAfter(state, { mustList: true });
    case "watchFailed":
      return waitAfter(state, { error: input.error, mustList: false });
    case "timerFired":
      return takeTimer(state);
  }
}

function startListing(state: WatchState): WatchStep {
  return {
    state: { ...state, phase: "listing", mustList: true },
    effects: [{ type: "list" }],
  };
}

function takeList(state: WatchState, list: ObjectList): WatchStep {
  if (list.revision < (state.revision ?? 0)) {
    return waitAfter(state, {
      error: wentBack(list.revision, state),
      mustList: true,
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
    state: { ...state, phase: "watching", mustList: false },
    effects: [
      { type: "openWatch", since: state.revision ?? 0 },
      awaitLine(state),
    ],
  };
}

function takeLine(state: WatchState, text: string): WatchStep {
  let line;
  try {
    line = parseWatchLine(text);
  } catch (error) {
    return listAgain(state, error as Error);
  }
  if (line.type === "bookmark") {
    const { revision } = line;
    if (revision < (state.revision ?? 0)) {
      return listAgain(state, wentBack(revision, state));
    }
    return deliver(state, { event: line, revision });
  }
  const { change } = line;
  const revision = change.type === "put"
    ? change.object.revision
    : change.revision;
  if (revision <= (state.revision ?? 0)) {
    return listAgain(state, wentBack(revision, state));
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
    effects: [{ type: "emit", event }, awaitLine(state)],
  };
}

function listAgain(state: WatchState, error: Error): WatchStep {
  const waiting = waitAfter(state, { error, mustList: true });
  return {
    ...waiting,
    effects: [{ type: "closeWatch" }, ...waiting.effects],
  };
}

function takeTimer(state: WatchState): WatchStep {
  if (state.phase === "watching") return replaceSilentWatch(state);
  return state.mustList ? startListing(state) : startWatching(state);
}

function replaceSilentWatch(state: WatchState): WatchStep {
  const error = createError(
    `The watch was silent for ${state.idleTimeoutMs} ms`,
    {
      code: "DANDELIONBANK_WATCH_SILENT",
      step: "watch objects",
      peer: "platform",
      hint: "None needed: the watch is opened again",
    },
  );
  const waiting = waitAfter(state, { error, mustList: false });
  return {
    ...waiting,
    effects: [{ type: "closeWatch" }, ...waiting.effects],
  };
}

function waitAfter(
  state: WatchState,
  failure: { readonly error?: Error; readonly mustList: boolean },
): WatchStep {
  const { error, mustList } = failure;
  const maxDelayMs = Math.min(
    LONGEST_DELAY_MS,
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
      mustList,
      failures: state.failures + 1,
    },
    effects: error === undefined
      ? [timer]
      : [{ type: "emit", event: { type: "unreachable", error } }, timer],
  };
}

function awaitLine({ idleTimeoutMs: idleTimeoutMs }: WatchState): WatchEffect {
  return {
    type: "setTimer",
    minDelayMs: idleTimeoutMs,
    maxDelayMs: idleTimeoutMs,
  };
}

function wentBack(revision: number, state: WatchState): Error {
  return createError(
    `The platform showed revision ${revision} after ${state.revision}`,
    {
      code: "DANDELIONBANK_PLATFORM_WENT_BACK",
      step: "watch objects",
      peer: "platform",
      hint: "If it lasts, the store was set back: restart the processes",
    },
  );
}
