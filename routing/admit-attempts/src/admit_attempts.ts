/**
 * Decides which attempts an agent runs on its target, which join a running call
 * or get a kept answer, and which are refused. An attempt is one sending of a
 * request by an entry; attempts under the same request key ask for the same call.
 *
 * The state is mutated in place and returned, for speed. Time is monotonic: if
 * the clock goes backwards, the latest time seen is used instead.
 */

import type { Step } from "@dandelionbank/types";
import { handleAttemptArrived, handleAttemptQueried } from "./arrivals.ts";
import {
  handleListenerDisconnected,
  handleRunEnded,
  handleRunFailed,
  handleTick,
  reportDrained,
} from "./endings.ts";
import type { AdmitEffect, AdmitEvent, KeysRequested } from "./events.ts";
import { type AdmitContext, type AdmitState } from "./state.ts";

export function step(
  state: AdmitState,
  event: AdmitEvent,
  nowMs: number,
): Step<AdmitState, AdmitEffect> {
  state.nowMs = Math.max(state.nowMs, nowMs);
  const context: AdmitContext = { state, nowMs: state.nowMs, effects: [] };
  handleEvent(context, event);
  reportDrained(context);
  return { state, effects: context.effects };
}

/** Returns how often each invariant has been checked. */
export function countChecks(
  state: AdmitState,
): Readonly<Record<string, number>> {
  return Object.fromEntries(state.checks);
}

export interface AdmitFigures {
  readonly running: number;
  readonly keys: number;
  readonly keptBytes: number;
  readonly stopping: boolean;
}

export function readFigures(state: AdmitState): AdmitFigures {
  return {
    running: state.running.size,
    keys: state.keys.runsOnceCount + state.keys.evictableCount,
    keptBytes: state.keys.keptBytes,
    stopping: state.stopReasons.size > 0,
  };
}

function handleEvent(context: AdmitContext, event: AdmitEvent): void {
  const { state } = context;
  switch (event.type) {
    case "closingsRead":
      event.incarnations.forEach((name) => closeIncarnation(state, name));
      state.ready = true;
      return;
    case "incarnationClosed":
      return closeIncarnation(state, event.incarnation);
    case "attemptArrived":
      return handleAttemptArrived(context, event);
    case "attemptQueried":
      return handleAttemptQueried(context, event);
    case "answerBegan":
      return state.pause.recordAnswer(event, context.nowMs);
    case "runEnded":
      return handleRunEnded(context, event);
    case "runFailed":
      return handleRunFailed(context, event);
    case "listenerDisconnected":
      return handleListenerDisconnected(context, event);
    case "stopBegan":
      state.stopReasons.add(event.reason);
      return;
    case "stopWithdrawn":
      state.stopReasons.delete(event.reason);
      state.drainedReported = false;
      return;
    case "keysRequested":
      return reportKeys(context, event);
    case "tick":
      return handleTick(context);
  }
}

function closeIncarnation(state: AdmitState, incarnation: string): void {
  state.incarnations.getOrCreate(incarnation).closed = true;
}

/**
 * Reports the keys under the incarnations' tickets. Closes the incarnations
 * first, so that no attempt of theirs can make the report outdated.
 */
function reportKeys(context: AdmitContext, event: KeysRequested): void {
  const { state } = context;
  const homes = event.incarnations.map((incarnation) => {
    closeIncarnation(state, incarnation);
    return state.incarnations.getOrCreate(incarnation);
  });
  const found = [...state.keys.listByHome(new Set(homes))];
  context.effects.push({
    type: "answerKeys",
    askId: event.askId,
    agentIncarnation: state.options.incarnation,
    homes: homes.map((home) => ({
      incarnation: home.incarnation,
      forgottenIssuedAtMs: home.forgottenIssuedAtMs,
      keys: found
        .filter(({ record }) => record.home === home)
        .map(({ keyId, record }) => ({ keyId, standing: record.standing })),
    })),
  });
}
