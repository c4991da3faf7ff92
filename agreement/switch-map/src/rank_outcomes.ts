/** Ends a proposal at one rank, and checks that its outcome is the same at all ranks. */

import type { VoteKind, VoteMessage } from "./messages.ts";
import { describeProposal, reportViolation, sendVote } from "./rank_draft.ts";
import type { RankDraft } from "./rank_draft.ts";
import type { OpenProposal, RankState } from "./rank_state.ts";
import { enqueueMapSwitches, releaseHoldIfSettled } from "./rank_actions.ts";

/** A rank's vote on a proposal, or the outcome that it knows. */
export type KnownVote = Omit<VoteMessage, "type" | "toIncarnation">;

export function commitOpenProposal(draft: RankDraft, open: OpenProposal): void {
  const { mapVersion, fromStep } = open.proposal;
  if (draft.state.step >= fromStep) {
    reportViolation(
      draft,
      "noStepBeforeOutcome",
      `${
        describeProposal(open.proposal)
      } committed at step ${draft.state.step}`,
    );
  }
  const { open: _, ...rest } = draft.state;
  draft.state = {
    ...rest,
    previous: draft.state.current,
    current: { mapVersion, fromStep },
    closedVersion: Math.max(draft.state.closedVersion, mapVersion),
  };
  draft.effects.push({
    type: "settled",
    mapVersion,
    fromStep,
    committed: true,
  });
  sendVoteToAskers(draft, open, "committed");
  enqueueMapSwitches(draft, [{ mapVersion, fromStep }]);
}

export function abortOpenProposal(draft: RankDraft): void {
  const { open, closedVersion } = draft.state;
  if (open === undefined) return;
  const { mapVersion, fromStep } = open.proposal;
  const { open: _, ...rest } = draft.state;
  draft.state = {
    ...rest,
    closedVersion: Math.max(closedVersion, mapVersion),
  };
  draft.effects.push({
    type: "settled",
    mapVersion,
    fromStep,
    committed: false,
  });
  sendVoteToAskers(draft, open, "aborted");
  releaseHoldIfSettled(draft);
}

export function findOutcome(
  state: RankState,
  mapVersion: number,
): VoteKind | undefined {
  if (state.current.mapVersion === mapVersion) return "committed";
  if (state.previous.mapVersion === mapVersion) return "committed";
  if (state.open?.proposal.mapVersion === mapVersion) return undefined;
  return mapVersion <= state.closedVersion ? "aborted" : undefined;
}

export function checkSameOutcome(
  draft: RankDraft,
  message: KnownVote,
  known: VoteKind,
): void {
  if (message.vote === known) return;
  if (message.mapVersion < draft.state.previous.mapVersion) return;
  reportViolation(
    draft,
    "oneOutcomePerProposal",
    `Map ${message.mapVersion} is ${known} here and ${message.vote} at rank ${message.from.rank}`,
  );
}

/** Checks that no peer commits without this rank's promise, which a commit requires. */
export function checkNotCommitted(
  draft: RankDraft,
  message: KnownVote,
): void {
  if (message.vote !== "committed") return;
  reportViolation(
    draft,
    "oneOutcomePerProposal",
    `Map ${message.mapVersion} is committed at rank ${message.from.rank} and was not promised here`,
  );
}

export function sendVoteToAskers(
  draft: RankDraft,
  open: OpenProposal,
  vote: VoteKind,
): void {
  const { mapVersion } = open.proposal;
  for (const asker of open.askedBy) {
    sendVote(draft, asker, { mapVersion, vote });
  }
}
