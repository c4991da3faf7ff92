/**
 * How a new agent of a rank restores what its group has settled, before the rank
 * begins a step. Nothing is stored on disk, so the state comes from the peers.
 *
 * A peer that answers ignores the agent's predecessor from then on. A newer
 * incarnation of any rank starts another round of joins, because the answers are
 * consistent only if all were requested after the last such change. A proposal
 * that every serving peer has promised may have been committed, possibly by an
 * agent that is gone, so it is promised again; any other one may be refused.
 */

import type {
  JoinRound,
  MapProposal,
  RankEvidence,
  RankIncarnation,
  SettledMaps,
  StatusMessage,
} from "./messages.ts";
import {
  isSenderSuperseded,
  listPeers,
  recordIncarnation,
  send,
  update,
} from "./rank_draft.ts";
import type { RankDraft } from "./rank_draft.ts";
import type { JoinState, RankState } from "./rank_state.ts";
import {
  enqueueMapSwitches,
  holdStep,
  releaseHoldIfSettled,
} from "./rank_actions.ts";
import { restorePromise } from "./rank_votes.ts";

const NO_EVIDENCE: RankEvidence = { step: -1, mapVersion: 0 };

export function beginJoin(draft: RankDraft): void {
  holdStep(draft, draft.state.evidence.step + 1);
  startRound(draft, 1);
  sendJoinToMissingPeers(draft);
  finishJoinIfAnswered(draft);
}

/** Sends a join to every peer that has not answered in this round. */
export function sendJoinToMissingPeers(draft: RankDraft): void {
  const { join, self } = draft.state;
  if (join === undefined) return;
  const askAtMs = draft.nowMs + draft.state.askIntervalMs;
  update(draft, { join: { ...join, askAtMs } });
  for (const rank of listPeers(draft.state)) {
    if (join.answers[rank] !== null) continue;
    const message = { type: "join", from: self, round: join.round } as const;
    send(draft, { kind: "rank", rank }, message);
  }
}

/** Records an incarnation; while joining, a newer one starts another round. */
export function recordSender(draft: RankDraft, from: RankIncarnation): void {
  const { join } = draft.state;
  if (!recordIncarnation(draft, from) || join === undefined) return;
  startRound(draft, join.round + 1);
}

/** Handles a peer's status, which may answer a join. */
export function handleStatus(draft: RankDraft, status: StatusMessage): void {
  status.incarnations.forEach((incarnation, rank) =>
    recordSender(draft, { rank, incarnation })
  );
  const { join } = draft.state;
  if (join === undefined || status.join?.round !== join.round) return;
  if (status.join.incarnation !== draft.state.self.incarnation) return;
  if (isSenderSuperseded(draft.state, status.from)) return;
  const answers = join.answers.with(status.from.rank, status);
  update(draft, { join: { ...join, answers } });
  finishJoinIfAnswered(draft);
}

export function createStatus(
  state: RankState,
  join?: JoinRound,
): StatusMessage {
  return {
    type: "status",
    from: state.self,
    ...(join === undefined ? {} : { join }),
    serving: state.join === undefined,
    incarnations: state.incarnations,
    fencingFloor: state.fencingFloor,
    current: state.current,
    previous: state.previous,
    ...(state.open?.promised ? { open: state.open.proposal } : {}),
    closedVersion: state.closedVersion,
    evidence: state.evidence,
  };
}

function startRound(draft: RankDraft, round: number): void {
  const join: JoinState = {
    round,
    answers: draft.state.incarnations.map(() => null),
    askAtMs: draft.nowMs,
  };
  update(draft, { join });
}

function finishJoinIfAnswered(draft: RankDraft): void {
  const { join } = draft.state;
  if (join === undefined) return;
  const answers = join.answers.filter((answer) => answer !== null);
  if (answers.length < draft.state.groupSize - 1) return;
  const { join: _, ...rest } = draft.state;
  draft.state = rest;
  const servingPeers = answers.filter((answer) => answer.serving);
  if (servingPeers.length > 0) restoreFromPeers(draft, servingPeers);
  else restoreFromRecords(draft, answers);
  adoptMaps(draft);
  update(draft, { evidence: NO_EVIDENCE });
  releaseHoldIfSettled(draft);
}

/**
 * Restores what the serving peers have settled. A proposal that all of them have
 * promised is committed if the rank already runs its map, and promised again if
 * the rank has not reached its step. If the rank has begun that step under
 * another map, its former agent can't have promised, since a promise holds the
 * rank before the step.
 */
function restoreFromPeers(
  draft: RankDraft,
  servingPeers: readonly StatusMessage[],
): void {
  const newest = servingPeers.reduce(selectNewerStatus);
  const { current, previous } = newest;
  update(draft, {
    current,
    previous,
    fencingFloor: Math.max(...servingPeers.map((peer) => peer.fencingFloor)),
    closedVersion: Math.max(...servingPeers.map((peer) => peer.closedVersion)),
  });
  const proposal = findPromisedByAll(servingPeers);
  if (proposal?.baseVersion !== current.mapVersion) return;
  const { evidence } = draft.state;
  if (evidence.mapVersion === proposal.mapVersion) {
    restoreCommit(draft, proposal);
    return;
  }
  if (proposal.fromStep <= evidence.step) return;
  restorePromise(draft, proposal);
}

/** Restores a commit: the rank runs the map, so its former agent knew the outcome. */
function restoreCommit(draft: RankDraft, proposal: MapProposal): void {
  const { current, closedVersion } = draft.state;
  const { mapVersion, fromStep } = proposal;
  update(draft, {
    current: { mapVersion, fromStep },
    previous: current,
    closedVersion: Math.max(closedVersion, mapVersion),
  });
}

/** Returns the proposal that every serving peer has promised, if there is one. */
function findPromisedByAll(
  servingPeers: readonly StatusMessage[],
): MapProposal | undefined {
  const proposal = servingPeers[0]?.open;
  const promised = servingPeers.every((peer) =>
    peer.open?.mapVersion === proposal?.mapVersion
  );
  return promised ? proposal : undefined;
}

/** Restores the maps if all agents are new: from the ranks, then the platform's record. */
function restoreFromRecords(
  draft: RankDraft,
  answers: readonly StatusMessage[],
): void {
  const { state } = draft;
  const recorded = [state, ...answers].reduce<SettledMaps>(
    selectNewerMaps,
    state,
  );
  const running = [state.evidence, ...answers.map((peer) => peer.evidence)]
    .filter((rank) => rank.mapVersion > 0)
    .reduce(selectLaterEvidence, NO_EVIDENCE);
  const { current, previous } = combineRecords(running, recorded);
  const closedVersion = Math.max(
    current.mapVersion,
    recorded.current.mapVersion,
  );
  update(draft, { current, previous, closedVersion });
}

/** Prefers the map that ranks run; a recorded map counts if its step is in the future. */
function combineRecords(
  running: RankEvidence,
  recorded: SettledMaps,
): SettledMaps {
  if (running.mapVersion === 0) return recorded;
  const { mapVersion, step } = running;
  const inForce = { mapVersion, fromStep: step };
  const { current } = recorded;
  const isUpcoming = current.fromStep > step && current.mapVersion > mapVersion;
  if (isUpcoming) return { current, previous: inForce };
  return { current: inForce, previous: { mapVersion: 0, fromStep: 0 } };
}

/** Switches the rank to the restored maps, first to the one of its next step. */
function adoptMaps(draft: RankDraft): void {
  const { current, previous, step } = draft.state;
  const nextStepUsesCurrent = step + 1 >= current.fromStep;
  const maps = nextStepUsesCurrent || previous.mapVersion === 0
    ? [current]
    : [previous, current];
  enqueueMapSwitches(draft, maps);
}

function selectNewerStatus(
  left: StatusMessage,
  right: StatusMessage,
): StatusMessage {
  return right.current.mapVersion > left.current.mapVersion ? right : left;
}

function selectLaterEvidence(
  left: RankEvidence,
  right: RankEvidence,
): RankEvidence {
  return right.step >= left.step ? right : left;
}

function selectNewerMaps(left: SettledMaps, right: SettledMaps): SettledMaps {
  return right.current.mapVersion > left.current.mapVersion ? right : left;
}
