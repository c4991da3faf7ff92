/**
 * The coordinator's part of a switch. All ranks of a group begin each pass
 * together, and a pass with two maps must never begin:
 *
 * 1. Every rank prepares the version, which alone changes nothing.
 * 2. One rank holds a coming pass, so that the group cannot begin it.
 * 3. Every rank is armed to switch as that pass begins.
 * 4. The hold is released once every rank is armed.
 *
 * From the hold on the switch only goes forward. An order without an answer is
 * repeated, because it may be carried out at any time later: giving up could
 * leave a rank that is armed all the same. A group that forms anew has lost all
 * orders, and every order names the epoch that it was meant for.
 *
 * The core holds nothing that a successor needs: what it finds prepared, held
 * or armed, it completes.
 */

import type { RankReport, Step } from "@dandelionbank/types";
import { advancePhase } from "./switch_phases.ts";
import {
  endSwitch,
  isGroupComplete,
  type SwitchContext,
  type SwitchState,
} from "./switch_state.ts";
import { applyOrderResult } from "./order_result.ts";
import type { SwitchEffect, SwitchEvent } from "./types.ts";

export function stepSwitch(
  state: SwitchState,
  event: SwitchEvent,
  nowMs: number,
): Step<SwitchState, SwitchEffect> {
  const context: SwitchContext = { state, nowMs, effects: [] };
  applyEvent(context, event);
  advanceUntilStable(context);
  return { state, effects: context.effects };
}

/** True while a plan could be carried out. */
export function canStartSwitch(state: SwitchState): boolean {
  const { phase, reports, isFollowedByAll } = state;
  return phase.name === "idle" && isFollowedByAll && isGroupComplete(reports);
}

/** True while even ranks whose agents are silent have to be read. */
export function requiresAllReports(
  { phase }: SwitchState,
  reports: readonly RankReport[],
): boolean {
  const isHeld = reports.some(({ heldStep }) => heldStep !== undefined);
  return isHeld || (phase.name !== "idle" && phase.name !== "preparing");
}

function applyEvent(context: SwitchContext, event: SwitchEvent): void {
  const { state } = context;
  switch (event.type) {
    case "reported":
      state.reports = event.reports;
      state.isFollowedByAll = event.isFollowedByAll;
      state.agentOrders = event.agentOrders;
      state.groupSize = event.reports[0]?.groupSize ?? state.groupSize;
      return;
    case "planned":
      if (state.phase.name === "idle") state.plan = event.map;
      return;
    case "orderEnded":
      return applyOrderResult(context, event);
  }
}

/** Goes on until the phase stays as it is. */
function advanceUntilStable(context: SwitchContext): void {
  const { state } = context;
  const epoch = Math.max(0, ...state.reports.map((report) => report.epoch));
  const { phase } = state;
  if (phase.name !== "idle" && phase.epoch < epoch) {
    endSwitch(context, "abandoned");
  }
  for (;;) {
    const before = state.phase;
    advancePhase(context, epoch);
    if (state.phase === before) return;
  }
}
