/**
 * How the agent of a rank learns what its group has settled, before its rank
 * begins a step. Nothing is kept on disk, so the peers are the record.
 *
 * Each peer that answers counts nothing more from the predecessor. News of a
 * newer incarnation starts another round: only answers that were all asked for
 * after the last such news fit together. A proposal that every peer with a
 * memory has promised may have been committed, also by an agent that is gone,
 * and is promised again; any other one is free to be refused.
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
  isSuperseded,
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

/** Asks every peer that has not answered in this round. */
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

/** Learns of an incarnation; while joining, news of one starts a round. */
export function recordSender(draft: RankDraft, from: RankIncarnation): void {
  const { join } = draft.state;
  if (!recordIncarnation(draft, from) || join === undefined) return;
  startRound(draft, join.round + 1);
}

/** Takes in a peer's answer to a join. */
export function handleStatus(draft: RankDraft, status: StatusMessage): void {
  status.incarnations.forEach((incarnation, rank) =>
    recordSender(draft, { rank, incarnation })
  );
  const { join } = draft.state;
  if (join === undefined || status.join?.round !== join.round) return;
  if (status.join.incarnation !== draft.state.self.incarnation) return;
  if (isSuperseded(draft.state, status.from)) return;
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
  const memories = answers.filter((answer) => answer.serving);
  if (memories.length > 0) restoreFromPeers(draft, memories);
  else restoreFromRecords(draft, answers);
  adoptMaps(draft);
  update(draft, { evidence: NO_EVIDENCE });
  releaseHoldIfSettled(draft);
}

function restoreFromPeers(
  draft: RankDraft,
  memories: readonly StatusMessage[],
): void {
  const newest = memories.reduce(selectNewer);
  const { current, previous } = newest;
  update(draft, {
    current,
    previous,
    fencingFloor: Math.max(...memories.map((peer) => peer.fencingFloor)),
    closedVersion: Math.max(...memories.map((peer) => peer.closedVersion)),
  });
  const proposal = findPromisedByAll(memories);
  if (proposal?.baseVersion !== current.mapVersion) return;
  const { evidence } = draft.state;
  if (evidence.mapVersion === proposal.mapVersion) {
    restoreCommit(draft, proposal);
    return;
  }
  if (proposal.fromStep <= evidence.step) return;
  restorePromise(draft, proposal);
}

/** The rank runs the map, so the agent before this one knew the outcome. */
function restoreCommit(draft: RankDraft, proposal: MapProposal): void {
  const { current, closedVersion } = draft.state;
  const { mapVersion, fromStep } = proposal;
  update(draft, {
    current: { mapVersion, fromStep },
    previous: current,
    closedVersion: Math.max(closedVersion, mapVersion),
  });
}

/** The proposal that may have been committed, if there is one. */
function findPromisedByAll(
  memories: readonly StatusMessage[],
): MapProposal | undefined {
  const proposal = memories[0]?.open;
  const promised = memories.every((peer) =>
    peer.open?.mapVersion === proposal?.mapVersion
  );
  return promised ? proposal : undefined;
}

/** Every agent is new: the ranks themselves, then the platform's record, tell. */
function restoreFromRecords(
  draft: RankDraft,
  answers: readonly StatusMessage[],
): void {
  const { state } = draft;
  const recorded = [state, ...answers].reduce<SettledMaps>(selectHigher, state);
  const running = [state.evidence, ...answers.map((peer) => peer.evidence)]
    .filter((rank) => rank.mapVersion > 0)
    .reduce(selectLater, NO_EVIDENCE);
  const { current, previous } = combineRecords(running, recorded);
  const closedVersion = Math.max(
    current.mapVersion,
    recorded.current.mapVersion,
  );
  update(draft, { current, previous, closedVersion });
}

/** What ranks run counts; a recorded map counts if its step is still to come. */
function combineRecords(
  running: RankEvidence,
  recorded: SettledMaps,
): SettledMaps {
  if (running.mapVersion === 0) return recorded;
  const { mapVersion, step } = running;
  const inForce = { mapVersion, fromStep: step };
  const { current } = recorded;
  const isToCome = current.fromStep > step && current.mapVersion > mapVersion;
  if (isToCome) return { current, previous: inForce };
  return { current: inForce, previous: { mapVersion: 0, fromStep: 0 } };
}

function adoptMaps(draft: RankDraft): void {
  const { current, previous, step } = draft.state;
  const passed = step + 1 >= current.fromStep;
  const maps = passed || previous.mapVersion === 0
    ? [current]
    : [previous, current];
  enqueueMapSwitches(draft, maps);
}

function selectNewer(one: StatusMessage, other: StatusMessage): StatusMessage {
  return other.current.mapVersion > one.current.mapVersion ? other : one;
}

function selectLater(one: RankEvidence, other: RankEvidence): RankEvidence {
  return other.step >= one.step ? other : one;
}

function selectHigher(one: SettledMaps, other: SettledMaps): SettledMaps {
  return other.current.mapVersion > one.current.mapVersion ? other : one;
}
