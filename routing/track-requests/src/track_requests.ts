/**
 * The entry's core. Each request goes from its arrival over its attempts to
 * exactly one outcome for each caller that waits for it.
 *
 * The state is changed in place and returned, for speed. The time never goes
 * back: a clock that does is held at the latest time seen.
 */

import type { Step } from "@dandelionbank/types";
import { arrive, leave } from "./arrivals.ts";
import { takeNoTarget, takeTarget } from "./attempts.ts";
import type { TrackEffect } from "./effects.ts";
import type { TrackEvent } from "./events.ts";
import { takeFrame } from "./frames.ts";
import { takeHome } from "./homes.ts";
import {
  failDispatch,
  handleTick,
  loseAgent,
  loseConnection,
} from "./passing_time.ts";
import type { TrackContext, TrackState } from "./state.ts";

export function step(
  state: TrackState,
  event: TrackEvent,
  nowMs: number,
): Step<TrackState, TrackEffect> {
  state.nowMs = Math.max(state.nowMs, nowMs);
  const context: TrackContext = { state, nowMs: state.nowMs, effects: [] };
  handle(context, event);
  return { state, effects: context.effects };
}

/** How often each invariant was checked so far. */
export function countChecks(
  state: TrackState,
): Readonly<Record<string, number>> {
  return Object.fromEntries(state.checks);
}

export interface TrackFigures {
  readonly requests: number;
  readonly openAttempts: number;
  readonly callers: number;
  readonly keys: number;
  readonly keptBytes: number;
}

export function readFigures(state: TrackState): TrackFigures {
  return {
    requests: state.requests.size,
    openAttempts: state.attempts.size,
    callers: state.callers.size,
    keys: state.keys.size,
    keptBytes: state.keys.keptBytes,
  };
}

function handle(context: TrackContext, event: TrackEvent): void {
  const { state } = context;
  switch (event.type) {
    case "requestArrived":
      return arrive(context, event);
    case "homeFound":
      return takeHome(context, event);
    case "callerDisconnected":
      return leave(context, event);
    case "targetPicked":
      return takeTarget(context, event);
    case "noTarget":
      return takeNoTarget(context, event);
    case "frameArrived":
      return takeFrame(context, event);
    case "dispatchFailed":
      return failDispatch(context, event);
    case "connectionLost":
      return loseConnection(context, event);
    case "agentLost":
      return loseAgent(context, event);
    case "arbiterLeaseRenewed":
      state.arbiterUntilMs = Math.max(state.arbiterUntilMs, event.untilMs);
      return;
    case "arbiterClosed":
      state.arbiterClosed = true;
      return;
    case "timingChanged": {
      const { progressTimeoutMs, hedgeAfterMs } = event;
      state.options = { ...state.options, progressTimeoutMs, hedgeAfterMs };
      return;
    }
    case "tick":
      return handleTick(context);
  }
}
