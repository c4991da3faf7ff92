/** The query and staging phases, and the proposal that follows them. */

import {
  listRanks,
  sendToRank,
  setPhase,
  update,
} from "./coordinator_draft.ts";
import type { CoordinatorDraft } from "./coordinator_draft.ts";
import type { StagingPhase } from "./coordinator_state.ts";
import { beginVoting } from "./coordinator_voting.ts";
import { VERSIONS_PER_HOLDER } from "./messages.ts";
import type { StagedMessage, StatusMessage } from "./messages.ts";

export function beginQuery(draft: CoordinatorDraft): void {
  const { fencingNumber } = draft.state.options;
  const ranks = listRanks(draft.state);
  setPhase(draft, { kind: "querying", statuses: ranks.map(() => null) });
  for (const rank of ranks) {
    sendToRank(draft, rank, { type: "query", fencingNumber });
  }
}

export function handleQueryStatus(
  draft: CoordinatorDraft,
  status: StatusMessage,
): void {
  const { phase } = draft.state;
  if (phase.kind !== "querying" || !status.serving) return;
  const statuses = phase.statuses.with(status.from.rank, status);
  setPhase(draft, { ...phase, statuses });
  const answers = statuses.filter((answer) => answer !== null);
  if (answers.length === statuses.length) settleEarlierProposal(draft, answers);
}

/** Starts staging a new map unless a switch is in progress. */
export function beginStaging(draft: CoordinatorDraft): void {
  const { phase, versionCount, options } = draft.state;
  if (phase.kind !== "idle") {
    draft.effects.push({ type: "planRefused", reason: "busy" });
    return;
  }
  if (versionCount + 1 >= VERSIONS_PER_HOLDER) {
    draft.effects.push({ type: "planRefused", reason: "versionsUsedUp" });
    return;
  }
  const mapVersion = options.fencingNumber * VERSIONS_PER_HOLDER +
    versionCount + 1;
  update(draft, { versionCount: versionCount + 1 });
  setPhase(draft, {
    kind: "staging",
    mapVersion,
    stagedAt: listRanks(draft.state).map(() => null),
    startedAtMs: draft.nowMs,
  });
  draft.effects.push({ type: "mapPlanned", mapVersion });
  sendStageOrders(draft);
}

export function handleStaged(
  draft: CoordinatorDraft,
  message: StagedMessage,
): void {
  const { phase } = draft.state;
  if (phase.kind !== "staging" || phase.mapVersion !== message.mapVersion) {
    return;
  }
  const stagedAt = phase.stagedAt.with(message.from.rank, message.step);
  setPhase(draft, { ...phase, stagedAt });
  const steps = stagedAt.filter((step) => step !== null);
  if (steps.length < stagedAt.length) return;
  const latestStep = Math.max(...steps);
  if (latestStep >= draft.state.current.fromStep) propose(draft, latestStep);
  else setPhase(draft, { ...phase, stagedAt: stagedAt.map(() => null) });
}

/** Resends stage orders to ranks that have not staged, until the timeout. */
export function retryStaging(draft: CoordinatorDraft): void {
  const { phase, options } = draft.state;
  if (phase.kind !== "staging") return;
  if (draft.nowMs - phase.startedAtMs >= options.stageTimeoutMs) {
    abandonStaging(draft);
    return;
  }
  sendStageOrders(draft);
}

/** Ends the staging. Nothing was proposed, so there is nothing to settle. */
export function abandonStaging(draft: CoordinatorDraft): void {
  const { phase } = draft.state;
  if (phase.kind !== "staging") return;
  setPhase(draft, { kind: "idle" });
  draft.effects.push({
    type: "switchSettled",
    map: { mapVersion: phase.mapVersion, fromStep: 0 },
    committed: false,
  });
}

function sendStageOrders(draft: CoordinatorDraft): void {
  const { phase, options } = draft.state;
  if (phase.kind !== "staging") return;
  const { mapVersion } = phase;
  const { fencingNumber } = options;
  listUnstagedRanks(phase).forEach((rank) =>
    sendToRank(draft, rank, { type: "stage", fencingNumber, mapVersion })
  );
}

function listUnstagedRanks(phase: StagingPhase): readonly number[] {
  return phase.stagedAt.flatMap((step, rank) => step === null ? [rank] : []);
}

function propose(draft: CoordinatorDraft, latestStep: number): void {
  const { phase, options, current } = draft.state;
  if (phase.kind !== "staging") return;
  const proposal = {
    mapVersion: phase.mapVersion,
    fromStep: latestStep + options.leadSteps,
    baseVersion: current.mapVersion,
    fencingNumber: options.fencingNumber,
  };
  beginVoting(draft, { proposal, isOwnProposal: true, promises: [] });
}

/** Settles proposals left open by an earlier coordinator, one at a time. */
function settleEarlierProposal(
  draft: CoordinatorDraft,
  statuses: readonly StatusMessage[],
): void {
  const newest = statuses.reduce((best, other) =>
    other.current.mapVersion > best.current.mapVersion ? other : best
  );
  update(draft, { current: newest.current });
  const proposal = statuses.find((status) => status.open !== undefined)?.open;
  if (proposal === undefined) {
    setPhase(draft, { kind: "idle" });
    return;
  }
  const promises = statuses
    .filter((status) => status.open?.mapVersion === proposal.mapVersion)
    .map((status) => status.from);
  beginVoting(draft, { proposal, isOwnProposal: false, promises });
}
