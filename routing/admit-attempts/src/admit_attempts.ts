/**
 * The agent's core. It decides which attempts run on the target, which join a
 * running call or get a kept answer, and which are refused.
 *
 * The state is changed in place and returned, for speed. The time never goes
 * back: a clock that does is held at the latest time seen.
 */

import type { Step } from "@dandelionbank/types";
import { arrive, ask } from "./arrivals.ts";
import { endRun, failRun, leaveRun, passTime, tellDrained } from "./endings.ts";
import type { AdmitEffect, AdmitEvent, KeysRequested } from "./events.ts";
import { type AdmitContext, type AdmitState } from "./state.ts";

export function step(
  state: AdmitState,
  event: AdmitEvent,
  nowMs: number,
): Step<AdmitState, AdmitEffect> {
  state.nowMs = Math.max(state.nowMs, nowMs);
  const context: AdmitContext = { state, nowMs: state.nowMs, effects: [] };
  handle(context, event);
  tellDrained(context);
  return { state, effects: context.effects };
}

/** How often each invariant was checked so far. */
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
    keys: state.keys.onceCount + state.keys.spareCount,
    keptBytes: state.keys.keptBytes,
    stopping: state.stopReasons.size > 0,
  };
}

function handle(context: AdmitContext, event: AdmitEvent): void {
  const { state } = context;
  switch (event.type) {
    case "closingsRead":
      event.incarnations.forEach((name) => close(state, name));
      state.ready = true;
      return;
    case "incarnationClosed":
      return close(state, event.incarnation);
    case "attemptArrived":
      return arrive(context, event);
    case "attemptQueried":
      return ask(context, event);
    case "runEnded":
      return endRun(context, event);
    case "runFailed":
      return failRun(context, event);
    case "listenerDisconnected":
      return leaveRun(context, event);
    case "stopBegan":
      state.stopReasons.add(event.reason);
      return;
    case "stopWithdrawn":
      state.stopReasons.delete(event.reason);
      state.drainedTold = false;
      return;
    case "keysRequested":
      return answerKeys(context, event);
    case "tick":
      return passTime(context);
  }
}

function close(state: AdmitState, incarnation: string): void {
  state.incarnations.recordOf(incarnation).closed = true;
}

/** Closes the incarnations first, so that what is told stays true. */
function answerKeys(context: AdmitContext, event: KeysRequested): void {
  const { state } = context;
  const homes = event.incarnations.map((incarnation) => {
    close(state, incarnation);
    return state.incarnations.recordOf(incarnation);
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
