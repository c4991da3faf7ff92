/**
 * The phases of a switch, each driven by the newest reports of the ranks. A step
 * is the number of a pass; a rank that is armed switches when that pass begins.
 */

import { endEarlierSwitch, revertSwitch } from "./earlier_switch.ts";
import {
  beginConfirming,
  chooseVersion,
  endSwitch,
  enterPhase,
  findLatestStep,
  isGroupComplete,
  listRanks,
  releaseHolds,
  sendOrder,
  sendRelease,
  type SwitchContext,
  type SwitchState,
} from "./switch_state.ts";
import type { PhaseOf } from "./types.ts";

/** The switch is abandoned if ranks take longer to copy experts. */
const PREPARE_TIMEOUT_MS = 8_000;
/**
 * Largest group whose agents confirm that they answer. In a larger one, a round
 * of polls goes through relays and takes longer than the pass that would wait
 * for it.
 */
const MAX_CONFIRMING_RANKS = 16;
/**
 * Passes between the newest report and the held pass: time for the hold to arrive
 * and be confirmed, and for all ranks to be armed.
 */
const HOLD_LEAD_STEPS = 2;

/** Runs the current phase once; `epoch` is the newest that any rank reported. */
export function advancePhase(context: SwitchContext, epoch: number): void {
  const { phase } = context.state;
  switch (phase.name) {
    case "idle":
      return startPlannedSwitch(context, epoch);
    case "preparing":
      return prepareRanks(context, phase);
    case "holding":
      return holdPass(context, phase);
    case "confirming":
      return confirmAgents(context, phase);
    case "cancelling":
      return cancelHold(context, phase);
    case "arming":
      return armRanks(context, phase);
    case "releasing":
      return releasePass(context, phase);
    case "settling":
      return awaitSwitchedRanks(context, phase);
    case "reverting":
      return revertSwitch(context, phase);
  }
}

function startPlannedSwitch(context: SwitchContext, epoch: number): void {
  const { state, nowMs } = context;
  if (!endEarlierSwitch(context, epoch)) return;
  const { plan } = state;
  if (plan === undefined || !state.isFollowedByAll) return;
  state.plan = undefined;
  enterPhase(context, {
    name: "preparing",
    version: chooseVersion(state),
    epoch,
    map: plan,
    sinceMs: nowMs,
  });
}

function prepareRanks(
  context: SwitchContext,
  phase: PhaseOf<"preparing">,
): void {
  const { state, nowMs } = context;
  const { version, map, epoch, sinceMs } = phase;
  if (nowMs - sinceMs > PREPARE_TIMEOUT_MS) {
    return endSwitch(context, "abandoned");
  }
  if (!isGroupComplete(state.reports)) return;
  const missing = state.reports.filter(({ preparedVersion }) =>
    preparedVersion !== version
  );
  for (const { rank } of missing) {
    if (state.accepted.has(rank)) continue;
    const order = { kind: "prepare", version, map } as const;
    sendOrder(context, { rank, order, epoch, mayBypassAgent: false });
  }
  // A pass is held only while every agent answers, so that the hold is short.
  if (missing.length > 0 || !state.isFollowedByAll) return;
  const latestStep = findLatestStep(state.reports);
  // In an idle group, an earlier coordinator may have held the same pass, and
  // its order to release it may still be carried out.
  if (latestStep <= (state.followedSince?.step ?? latestStep)) {
    return releaseHolds(context, { epoch });
  }
  const step = latestStep + HOLD_LEAD_STEPS;
  const holder = selectHolder(state);
  enterPhase(context, { name: "holding", version, epoch, step, holder });
}

/**
 * Selects the rank that holds the pass: of the ranks other than the
 * coordinator's own, the one with the newest report, since it likely answers
 * fastest.
 */
function selectHolder({ reports, options }: SwitchState): number {
  const others = reports.filter(({ rank }) => rank !== options.ownRank);
  const candidates = others.length > 0 ? others : reports;
  return candidates.reduce(
    (best, report) => report.step > best.step ? report : best,
  ).rank;
}

function holdPass(context: SwitchContext, phase: PhaseOf<"holding">): void {
  const { reports } = context.state;
  const { epoch, step, holder } = phase;
  const report = reports.find(({ rank }) => rank === holder);
  if (report?.heldStep === step) return beginConfirming(context, phase);
  const latestStep = findLatestStep(reports);
  if (latestStep >= step) {
    // The pass began before the hold arrived. No rank is armed for it.
    return enterPhase(context, {
      ...phase,
      step: latestStep + HOLD_LEAD_STEPS,
    });
  }
  // Holds left by other switches can go: every rank has prepared a higher
  // version since, so those switches can no longer arm any rank.
  releaseHolds(context, { epoch, exceptStep: step });
  const order = { kind: "hold", step } as const;
  sendOrder(context, {
    rank: holder,
    order,
    epoch,
    mayBypassAgent: false,
    isDirect: true,
  });
}

/**
 * Awaits reports of polls that began after the pass was held. No rank has been
 * armed so far, so the hold can still be cancelled.
 */
function confirmAgents(
  context: SwitchContext,
  phase: PhaseOf<"confirming">,
): void {
  const { reports, polledAtMs, isFollowedByAll, groupSize } = context.state;
  const { version, epoch, step, holder, sinceMs } = phase;
  const held = { version, epoch, step, holder };
  const isNeeded = groupSize <= MAX_CONFIRMING_RANKS;
  if (isNeeded && polledAtMs <= sinceMs) return;
  const hasAnswers = isFollowedByAll && isGroupComplete(reports);
  if (isNeeded && !hasAnswers) {
    return enterPhase(context, { ...held, name: "cancelling" });
  }
  enterPhase(context, { ...held, name: "arming", armed: new Set() });
}

/**
 * Releases the held pass until it has begun: a hold that was sent twice may still
 * be carried out before that.
 */
function cancelHold(
  context: SwitchContext,
  { step, holder, epoch }: PhaseOf<"cancelling">,
): void {
  const { reports } = context.state;
  if (findLatestStep(reports) >= step) return endSwitch(context, "abandoned");
  const report = reports.find(({ rank }) => rank === holder);
  const isReleased = report !== undefined && report.heldStep !== step;
  if (!isReleased) sendRelease(context, { rank: holder, step, epoch });
}

function armRanks(context: SwitchContext, phase: PhaseOf<"arming">): void {
  const { reports, groupSize, options } = context.state;
  const { version, epoch, step, holder, armed } = phase;
  if (findLatestStep(reports) >= step) {
    return enterPhase(context, { name: "settling", version, epoch, step });
  }
  const reported = reports.filter((report) => report.armedVersion === version);
  const armedRanks = new Set([...armed, ...reported.map(({ rank }) => rank)]);
  const missing = listRanks(groupSize).filter((rank) => !armedRanks.has(rank));
  if (missing.length === 0) {
    const name = "releasing";
    return enterPhase(context, { name, version, epoch, step, holder });
  }
  const others = missing.filter((rank) => rank !== options.ownRank);
  for (const rank of others.length > 0 ? others : missing) {
    const order = { kind: "arm", version, step } as const;
    sendOrder(context, { rank, order, epoch, mayBypassAgent: true });
  }
}

function releasePass(
  context: SwitchContext,
  phase: PhaseOf<"releasing">,
): void {
  const { version, epoch, step, holder } = phase;
  if (findLatestStep(context.state.reports) >= step) {
    return enterPhase(context, { name: "settling", version, epoch, step });
  }
  sendRelease(context, { rank: holder, step, epoch });
  // A late hold of an earlier coordinator keeps the group from an earlier pass.
  releaseHolds(context, { epoch, exceptStep: step });
}

/** Waits until all ranks have begun the pass. */
function awaitSwitchedRanks(
  context: SwitchContext,
  phase: PhaseOf<"settling">,
): void {
  const { reports } = context.state;
  const { version, epoch, step } = phase;
  // A repeated hold order may be carried out after the release.
  releaseHolds(context, { epoch });
  if (!isGroupComplete(reports)) return;
  if (reports.some(({ armedVersion }) => armedVersion !== 0)) return;
  const isSwitched = reports.every(({ mapVersion }) => mapVersion >= version);
  if (isSwitched) return endSwitch(context, "switched");
  // The pass began before all ranks were armed, or an earlier coordinator's
  // switch turned out not to be armed anywhere.
  const hasBegun = step === undefined ||
    reports.every((report) => report.step >= step);
  if (hasBegun) endSwitch(context, "abandoned");
}
