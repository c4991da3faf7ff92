/**
 * State machine of the coordinator, which proposes a group's map switches. It
 * collects the votes and passes them on together, so that a switch takes only a
 * few messages per rank. It does not decide the outcome; without a coordinator
 * the ranks ask each other. Pure: times are passed in, as milliseconds of a
 * monotonic clock.
 */

import type { Step } from "@dandelionbank/types";
import {
  createDraft,
  sendToRank,
  setPhase,
  update,
} from "./coordinator_draft.ts";
import type { CoordinatorDraft } from "./coordinator_draft.ts";
import type {
  CoordinatorEffect,
  CoordinatorEvent,
  CoordinatorOptions,
  CoordinatorState,
} from "./coordinator_state.ts";
import { handleVote, sendPendingMessages } from "./coordinator_voting.ts";
import {
  abandonStaging,
  beginQuery,
  beginStaging,
  handleQueryStatus,
  handleStaged,
  retryStaging,
} from "./coordinator_phases.ts";
import type { RankMessage } from "./messages.ts";

export function startCoordinator(
  options: CoordinatorOptions,
  nowMs: number,
): Step<CoordinatorState, CoordinatorEffect> {
  const state: CoordinatorState = {
    options,
    phase: { kind: "idle" },
    current: { mapVersion: 0, fromStep: 0 },
    incarnations: Array.from({ length: options.groupSize }, () => 0),
    versionCount: 0,
    resendAtMs: nowMs + options.resendIntervalMs,
  };
  const draft = createDraft(state, nowMs);
  beginQuery(draft);
  return { state: draft.state, effects: draft.effects };
}

export function stepCoordinator(
  state: CoordinatorState,
  event: CoordinatorEvent,
  nowMs: number,
): Step<CoordinatorState, CoordinatorEffect> {
  const draft = createDraft(state, nowMs);
  handleEvent(draft, event);
  return { state: draft.state, effects: draft.effects };
}

function handleEvent(draft: CoordinatorDraft, event: CoordinatorEvent): void {
  switch (event.type) {
    case "message":
      if (!("fencingNumber" in event.message)) {
        handleRankMessage(draft, event.message);
      }
      return;
    case "tick":
      return handleTick(draft);
    case "plan":
      return beginStaging(draft);
    case "cancel":
      return cancelSwitch(draft);
  }
}

function handleRankMessage(
  draft: CoordinatorDraft,
  message: RankMessage,
): void {
  const { rank, incarnation } = message.from;
  const { incarnations } = draft.state;
  if (incarnation < (incarnations[rank] ?? 0)) return;
  update(draft, { incarnations: incarnations.with(rank, incarnation) });
  switch (message.type) {
    case "status":
      return handleQueryStatus(draft, message);
    case "staged":
      return handleStaged(draft, message);
    case "vote":
      return handleVote(draft, message);
    case "join":
    case "ask":
      return;
  }
}

function handleTick(draft: CoordinatorDraft): void {
  const { phase, resendAtMs, options } = draft.state;
  if (draft.nowMs < resendAtMs) return;
  update(draft, { resendAtMs: draft.nowMs + options.resendIntervalMs });
  if (phase.kind === "querying") resendQueries(draft);
  if (phase.kind === "staging") retryStaging(draft);
  if (phase.kind === "voting") sendPendingMessages(draft);
}

function resendQueries(draft: CoordinatorDraft): void {
  const { phase, options } = draft.state;
  if (phase.kind !== "querying") return;
  const { fencingNumber } = options;
  phase.statuses.forEach((status, rank) => {
    if (status === null) {
      sendToRank(draft, rank, { type: "query", fencingNumber });
    }
  });
}

function cancelSwitch(draft: CoordinatorDraft): void {
  const { phase, options } = draft.state;
  if (phase.kind === "staging") {
    abandonStaging(draft);
    return;
  }
  if (phase.kind !== "voting") return;
  const { mapVersion } = phase.proposal;
  setPhase(draft, { ...phase, isOwnProposal: false });
  phase.promisedBy.forEach((incarnation, rank) => {
    if (incarnation > 0) return;
    const { fencingNumber } = options;
    sendToRank(draft, rank, { type: "cancel", fencingNumber, mapVersion });
  });
}
