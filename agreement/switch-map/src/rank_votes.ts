/**
 * How a rank votes on a proposal and determines its outcome.
 *
 * A rank either promises, once its own step is held, or refuses. A proposal is
 * committed by the promises of all ranks and aborted by one refusal. An
 * incarnation never does both. Only votes of the newest known incarnation of a
 * rank count, because it answers for its predecessors.
 */

import type { MapProposal, RankIncarnation, Recipient } from "./messages.ts";
import { listPeers, sendVote, update } from "./rank_draft.ts";
import type { RankDraft } from "./rank_draft.ts";
import {
  abortOpenProposal,
  checkNotCommitted,
  checkSameOutcome,
  commitOpenProposal,
  findOutcome,
  sendVoteToAskers,
} from "./rank_outcomes.ts";
import type { KnownVote } from "./rank_outcomes.ts";
import type { RankState } from "./rank_state.ts";
import { holdStep } from "./rank_actions.ts";

/** Votes on a proposal, or answers with its outcome. */
export function evaluateProposal(
  draft: RankDraft,
  proposal: MapProposal,
  asker: Recipient,
): void {
  const { mapVersion } = proposal;
  const known = findOutcome(draft.state, mapVersion);
  if (known !== undefined) {
    sendVote(draft, asker, { mapVersion, vote: known });
    return;
  }
  if (draft.state.open?.proposal.mapVersion === mapVersion) {
    answerWhenPromised(draft, asker);
    return;
  }
  if (mayPromise(draft.state, proposal)) {
    openProposal(draft, proposal, asker);
    return;
  }
  refuse(draft, mapVersion, asker);
}

/** Refuses a proposal unless this agent has promised it or knows its outcome. */
export function refuseUnlessPromised(
  draft: RankDraft,
  mapVersion: number,
  asker: Recipient,
): void {
  const { open } = draft.state;
  const known = findOutcome(draft.state, mapVersion);
  if (known !== undefined) {
    sendVote(draft, asker, { mapVersion, vote: known });
    return;
  }
  if (open?.proposal.mapVersion !== mapVersion) {
    refuse(draft, mapVersion, asker);
    return;
  }
  if (open.promised) {
    sendVote(draft, asker, { mapVersion, vote: "promised" });
    return;
  }
  abortOpenProposal(draft);
  sendVote(draft, asker, { mapVersion, vote: "aborted" });
}

/** Opens a proposal; the promise follows once the rank's step is held. */
function openProposal(
  draft: RankDraft,
  proposal: MapProposal,
  asker: Recipient,
): void {
  update(draft, {
    open: {
      proposal,
      promised: false,
      promisedBy: draft.state.incarnations.map(() => 0),
      askedBy: [asker],
      askAtMs: draft.nowMs + draft.state.askIntervalMs,
      rounds: 0,
    },
  });
  holdStep(draft, proposal.fromStep);
}

/** Renews a promise that a former incarnation may have given; the rank is held. */
export function restorePromise(draft: RankDraft, proposal: MapProposal): void {
  const { rank, incarnation } = draft.state.self;
  const none = draft.state.incarnations.map(() => 0);
  update(draft, {
    open: {
      proposal,
      promised: true,
      promisedBy: none.with(rank, incarnation),
      askedBy: [],
      askAtMs: draft.nowMs,
      rounds: 0,
    },
  });
}

/** Handles the rank's answer to the hold that a promise requires. */
export function handleStepHeld(
  draft: RankDraft,
  answer: { readonly step: number; readonly held: boolean },
): void {
  const { open } = draft.state;
  if (open?.proposal.fromStep !== answer.step || open.promised) return;
  if (!answer.held) {
    abortOpenProposal(draft);
    return;
  }
  const { rank, incarnation } = draft.state.self;
  update(draft, {
    open: {
      ...open,
      promised: true,
      promisedBy: open.promisedBy.with(rank, incarnation),
      askedBy: [],
    },
  });
  sendVoteToAskers(draft, open, "promised");
  commitIfUnanimous(draft);
}

/** Handles a vote or outcome from a rank's incarnation that is not superseded. */
export function handleVote(
  draft: RankDraft,
  message: KnownVote,
): void {
  if (message.vote === "promised") {
    recordPromises(draft, message.mapVersion, [message.from]);
    return;
  }
  const known = findOutcome(draft.state, message.mapVersion);
  if (known !== undefined) {
    checkSameOutcome(draft, message, known);
    return;
  }
  const { open } = draft.state;
  if (open?.proposal.mapVersion !== message.mapVersion) {
    checkNotCommitted(draft, message);
    return;
  }
  if (message.vote === "committed") commitOpenProposal(draft, open);
  else abortOpenProposal(draft);
}

/** Records promises, except those of superseded incarnations. */
export function recordPromises(
  draft: RankDraft,
  mapVersion: number,
  promises: readonly RankIncarnation[],
): void {
  const { open, incarnations } = draft.state;
  if (open?.proposal.mapVersion !== mapVersion) return;
  const promisedBy = [...open.promisedBy];
  for (const { rank, incarnation } of promises) {
    if (incarnation >= (incarnations[rank] ?? 0)) {
      promisedBy[rank] = incarnation;
    }
  }
  update(draft, { open: { ...open, promisedBy } });
  commitIfUnanimous(draft);
}

/** Lists the ranks whose promise for the open proposal is missing. */
export function listRanksWithoutPromise(state: RankState): readonly number[] {
  const { open, incarnations } = state;
  if (open === undefined) return [];
  return listPeers(state).filter((rank) => {
    const promisedBy = open.promisedBy[rank] ?? 0;
    return promisedBy === 0 || promisedBy < (incarnations[rank] ?? 0);
  });
}

function mayPromise(state: RankState, proposal: MapProposal): boolean {
  if (state.open !== undefined || state.switching.length > 0) return false;
  if (proposal.fencingNumber < state.fencingFloor) return false;
  if (proposal.baseVersion !== state.current.mapVersion) return false;
  if (state.step < state.current.fromStep) return false;
  if (proposal.fromStep <= state.step) return false;
  return state.stagedVersions.includes(proposal.mapVersion);
}

function refuse(draft: RankDraft, mapVersion: number, asker: Recipient): void {
  const closedVersion = Math.max(draft.state.closedVersion, mapVersion);
  update(draft, { closedVersion });
  sendVote(draft, asker, { mapVersion, vote: "aborted" });
}

function answerWhenPromised(draft: RankDraft, asker: Recipient): void {
  const { open } = draft.state;
  if (open === undefined) return;
  const { mapVersion } = open.proposal;
  if (open.promised) {
    sendVote(draft, asker, { mapVersion, vote: "promised" });
    return;
  }
  if (open.askedBy.some((other) => isSameRecipient(other, asker))) return;
  update(draft, { open: { ...open, askedBy: [...open.askedBy, asker] } });
}

function isSameRecipient(left: Recipient, right: Recipient): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}

function commitIfUnanimous(draft: RankDraft): void {
  const { open } = draft.state;
  if (open === undefined || !open.promised) return;
  if (listRanksWithoutPromise(draft.state).length === 0) {
    commitOpenProposal(draft, open);
  }
}
