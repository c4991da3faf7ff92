/** Collects the promises for one proposal and sends its outcome to all ranks. */

import {
  listRanks,
  sendToRank,
  setPhase,
  update,
} from "./coordinator_draft.ts";
import type { CoordinatorDraft } from "./coordinator_draft.ts";
import type { VotingPhase } from "./coordinator_state.ts";
import type {
  CoordinatorMessage,
  MapProposal,
  RankIncarnation,
  VoteMessage,
} from "./messages.ts";
import { beginQuery } from "./coordinator_phases.ts";

export interface VotingOptions {
  readonly proposal: MapProposal;
  readonly isOwnProposal: boolean;
  readonly promises: readonly RankIncarnation[];
}

export function beginVoting(
  draft: CoordinatorDraft,
  start: VotingOptions,
): void {
  const ranks = listRanks(draft.state);
  const promisedBy: number[] = ranks.map(() => 0);
  for (const { rank, incarnation } of start.promises) {
    promisedBy[rank] = incarnation;
  }
  setPhase(draft, {
    kind: "voting",
    proposal: start.proposal,
    isOwnProposal: start.isOwnProposal,
    promisedBy,
    outcomes: ranks.map(() => null),
  });
  sendPendingMessages(draft);
}

/** Sends each rank that has not confirmed an outcome the message it needs next. */
export function sendPendingMessages(draft: CoordinatorDraft): void {
  const { phase } = draft.state;
  if (phase.kind !== "voting") return;
  phase.outcomes.forEach((outcome, rank) => {
    if (outcome !== null) return;
    sendToRank(draft, rank, selectMessage(draft, { phase, rank }));
  });
}

/** Handles a rank's promise, or its report of the outcome. */
export function handleVote(
  draft: CoordinatorDraft,
  message: VoteMessage,
): void {
  const { phase } = draft.state;
  if (phase.kind !== "voting") return;
  if (phase.proposal.mapVersion !== message.mapVersion) return;
  if (message.vote === "promised") recordPromise(draft, phase, message.from);
  else confirmOutcome(draft, phase, message);
}

function recordPromise(
  draft: CoordinatorDraft,
  phase: VotingPhase,
  from: RankIncarnation,
): void {
  const known = phase.promisedBy[from.rank] ?? 0;
  if (from.incarnation <= known) return;
  const promisedBy = phase.promisedBy.with(from.rank, from.incarnation);
  setPhase(draft, { ...phase, promisedBy });
  if (isComplete(promisedBy) && phase.abortedBy === undefined) {
    sendPendingMessages(draft);
  }
}

function confirmOutcome(
  draft: CoordinatorDraft,
  phase: VotingPhase,
  message: VoteMessage,
): void {
  if (message.vote === "committed") confirmCommit(draft, phase, message.from);
  else confirmAbort(draft, phase, message.from);
}

/**
 * Handles a rank's report that it committed. It overrides refusals, which can
 * then only be by superseded incarnations; ranks that reported an abort are asked
 * again.
 */
function confirmCommit(
  draft: CoordinatorDraft,
  phase: VotingPhase,
  from: RankIncarnation,
): void {
  const { abortedBy: _, ...rest } = phase;
  const outcomes = phase.outcomes
    .map((outcome) => outcome === "aborted" ? null : outcome)
    .with(from.rank, "committed");
  setPhase(draft, { ...rest, outcomes });
  finishIfConfirmed(draft);
}

function confirmAbort(
  draft: CoordinatorDraft,
  phase: VotingPhase,
  from: RankIncarnation,
): void {
  if (phase.outcomes.includes("committed")) return;
  const outcomes = phase.outcomes.with(from.rank, "aborted");
  const abortedBy = phase.abortedBy ?? from;
  setPhase(draft, { ...phase, abortedBy, outcomes });
  if (phase.abortedBy === undefined) sendPendingMessages(draft);
  finishIfConfirmed(draft);
}

function finishIfConfirmed(draft: CoordinatorDraft): void {
  const { phase } = draft.state;
  if (phase.kind !== "voting") return;
  if (phase.outcomes.every((outcome) => outcome !== null)) {
    finishVoting(draft, phase);
  }
}

function finishVoting(draft: CoordinatorDraft, phase: VotingPhase): void {
  const { mapVersion, fromStep } = phase.proposal;
  const map = { mapVersion, fromStep };
  const committed = phase.outcomes.every((outcome) => outcome === "committed");
  if (committed) update(draft, { current: map });
  draft.effects.push({ type: "switchSettled", map, committed });
  if (phase.isOwnProposal && committed) setPhase(draft, { kind: "idle" });
  else beginQuery(draft);
}

function selectMessage(
  draft: CoordinatorDraft,
  options: { readonly phase: VotingPhase; readonly rank: number },
): CoordinatorMessage {
  const { phase, rank } = options;
  const { fencingNumber } = draft.state.options;
  const { proposal, promisedBy, abortedBy } = phase;
  const { mapVersion } = proposal;
  if (abortedBy !== undefined) {
    return { type: "abort", fencingNumber, mapVersion, by: abortedBy };
  }
  if (isComplete(promisedBy)) {
    return { type: "certificate", fencingNumber, mapVersion, promisedBy };
  }
  if (!phase.isOwnProposal && promisedBy[rank] === 0) {
    return { type: "cancel", fencingNumber, mapVersion };
  }
  return { type: "propose", fencingNumber, proposal };
}

function isComplete(promisedBy: readonly number[]): boolean {
  return promisedBy.every((incarnation) => incarnation > 0);
}
