/**
 * Tracks the requests of one entry. A request starts when it arrives, is run by
 * one or more attempts, and ends with exactly one outcome for each waiting
 * caller.
 *
 * A request with a key runs only if this entry is the arbiter of the key: the
 * home entry named by the key's ticket or, after a takeover, its successor.
 * Other requests with keys are relayed to their arbiter.
 *
 * The state is mutated in place and returned, for speed. Time is monotonic: if
 * the clock goes backwards, the latest time seen is used instead.
 */

import type { Step } from "@dandelionbank/types";
import { handleCallerDisconnected, handleRequestArrived } from "./arrivals.ts";
import { handleNoTarget, handleTargetPicked } from "./attempts.ts";
import type { TrackEffect } from "./effects.ts";
import type { TrackEvent } from "./events.ts";
import { handleFrame } from "./frames.ts";
import { handleHomeFound } from "./homes.ts";
import {
  handleAgentLost,
  handleConnectionLost,
  handleDispatchFailed,
  handleTick,
} from "./attempt_liveness.ts";
import type { TrackContext, TrackState } from "./state.ts";

export function step(
  state: TrackState,
  event: TrackEvent,
  nowMs: number,
): Step<TrackState, TrackEffect> {
  state.nowMs = Math.max(state.nowMs, nowMs);
  const context: TrackContext = { state, nowMs: state.nowMs, effects: [] };
  handleEvent(context, event);
  return { state, effects: context.effects };
}

/** Returns how often each invariant has been checked. */
export function countChecks(
  state: TrackState,
): Readonly<Record<string, number>> {
  return Object.fromEntries(state.checks);
}

/** Current sizes of the tables of requests, attempts, callers and keys. */
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

function handleEvent(context: TrackContext, event: TrackEvent): void {
  const { state } = context;
  switch (event.type) {
    case "requestArrived":
      return handleRequestArrived(context, event);
    case "homeFound":
      return handleHomeFound(context, event);
    case "callerDisconnected":
      return handleCallerDisconnected(context, event);
    case "targetPicked":
      return handleTargetPicked(context, event);
    case "noTarget":
      return handleNoTarget(context, event);
    case "frameArrived":
      return handleFrame(context, event);
    case "dispatchFailed":
      return handleDispatchFailed(context, event);
    case "connectionLost":
      return handleConnectionLost(context, event);
    case "agentLost":
      return handleAgentLost(context, event);
    case "arbiterLeaseRenewed":
      state.arbiterLeaseUntilMs = Math.max(
        state.arbiterLeaseUntilMs,
        event.untilMs,
      );
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
