/**
 * The coordinator's state machine for switching a group to a new expert map. All
 * ranks of a group begin each pass together, and no pass may begin while ranks
 * have different maps:
 *
 * 1. Every rank prepares the new version, which has no effect by itself.
 * 2. One rank holds an upcoming pass, so that the group cannot begin it.
 * 3. Every agent confirms that it still answers, unless the group is large.
 *    Otherwise the hold is cancelled: a rank that cannot be armed would keep the
 *    whole group waiting.
 * 4. Every rank is armed to switch when that pass begins.
 * 5. The hold is released once every rank is armed.
 *
 * Once the first rank is armed, the switch is never rolled back. An order without
 * an answer is repeated, because it may still be carried out at any later time:
 * abandoning the switch could leave a rank armed. A group that restarts with a
 * new epoch has dropped all orders, so every order carries the epoch it is for.
 *
 * The state contains nothing that a successor needs: a new coordinator releases
 * a pass for which all ranks are armed, and reverts any other unfinished switch
 * (see `earlier_switch.ts`).
 */

import type { RankReport, Step } from "@dandelionbank/types";
import { replaceRefusedVersion } from "./earlier_switch.ts";
import { advancePhase } from "./switch_phases.ts";
import {
  endSwitch,
  findLatestStep,
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

/** Whether a planned map could be switched to now. */
export function canStartSwitch(state: SwitchState): boolean {
  const { phase, reports, isFollowedByAll } = state;
  return phase.name === "idle" && isFollowedByAll && isGroupComplete(reports);
}

/** Whether ranks must be read even if their agents don't answer. */
export function requiresAllReports(
  { phase }: SwitchState,
  reports: readonly RankReport[],
): boolean {
  const isHeld = reports.some(({ heldStep }) => heldStep !== undefined);
  return isHeld || (phase.name !== "idle" && phase.name !== "preparing");
}

/** Whether the map in force is needed to revert an earlier switch. */
export function requiresCurrentMap({ phase, reports }: SwitchState): boolean {
  return phase.name === "reverting" && phase.map === undefined &&
    isGroupComplete(reports);
}

function applyEvent(context: SwitchContext, event: SwitchEvent): void {
  const { state } = context;
  switch (event.type) {
    case "reported":
      state.reports = event.reports;
      state.polledAtMs = event.polledAtMs;
      state.isFollowedByAll = event.isFollowedByAll;
      state.agentOrders = event.agentOrders;
      state.groupSize = event.reports[0]?.groupSize ?? state.groupSize;
      recordFollowed(state);
      return replaceRefusedVersion(context);
    case "planned":
      if (state.phase.name === "idle") state.plan = event.map;
      return;
    case "currentMapRead":
      if (state.phase.name !== "reverting") return;
      state.phase = { ...state.phase, map: event.map };
      return;
    case "orderEnded":
      return applyOrderResult(context, event);
  }
}

function recordFollowed(state: SwitchState): void {
  const { reports, isFollowedByAll, followedSince } = state;
  if (!isFollowedByAll || !isGroupComplete(reports)) return;
  const epoch = findLatestEpoch(reports);
  if (followedSince?.epoch === epoch) return;
  state.followedSince = { epoch, step: findLatestStep(reports) };
}

/** Runs phases until the phase no longer changes. */
function advanceUntilStable(context: SwitchContext): void {
  const { state } = context;
  const epoch = findLatestEpoch(state.reports);
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

function findLatestEpoch(reports: readonly RankReport[]): number {
  return Math.max(0, ...reports.map(({ epoch }) => epoch));
}
