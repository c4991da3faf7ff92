/** Next state and effects, built up while a rank's agent handles one event. */

import type {
  MapProposal,
  RankIncarnation,
  Recipient,
  SwitchMessage,
  VoteKind,
} from "./messages.ts";
import type { InvariantName, RankEffect, RankState } from "./rank_state.ts";

export interface RankDraft {
  state: RankState;
  readonly effects: RankEffect[];
  readonly nowMs: number;
}

export function update(draft: RankDraft, change: Partial<RankState>): void {
  draft.state = { ...draft.state, ...change };
}

export function send(
  draft: RankDraft,
  to: Recipient,
  message: SwitchMessage,
): void {
  draft.effects.push({ type: "send", to, message });
}

export function sendVote(
  draft: RankDraft,
  to: Recipient,
  answer: { readonly mapVersion: number; readonly vote: VoteKind },
): void {
  const { self, incarnations } = draft.state;
  const toIncarnation = to.kind === "rank" ? incarnations[to.rank] ?? 0 : 0;
  send(draft, to, { type: "vote", from: self, toIncarnation, ...answer });
}

export function reportViolation(
  draft: RankDraft,
  invariant: InvariantName,
  detail: string,
): void {
  draft.effects.push({ type: "invariantViolated", invariant, detail });
}

/** Whether a newer incarnation of the rank is known. */
export function isSenderSuperseded(
  state: RankState,
  from: RankIncarnation,
): boolean {
  return from.incarnation < (state.incarnations[from.rank] ?? 0);
}

/** Records an incarnation, also of the own rank; returns whether it is newer. */
export function recordIncarnation(
  draft: RankDraft,
  from: RankIncarnation,
): boolean {
  const known = draft.state.incarnations[from.rank] ?? 0;
  if (from.incarnation <= known) return false;
  update(draft, {
    incarnations: draft.state.incarnations.with(from.rank, from.incarnation),
  });
  return true;
}

export function listPeers(state: RankState): readonly number[] {
  return state.incarnations.map((_, rank) => rank)
    .filter((rank) => rank !== state.self.rank);
}

export function describeProposal(proposal: MapProposal): string {
  return `map ${proposal.mapVersion} from step ${proposal.fromStep}`;
}
