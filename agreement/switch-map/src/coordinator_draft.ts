/** Next state and effects, built up while the coordinator handles one event. */

import type {
  CoordinatorEffect,
  CoordinatorPhase,
  CoordinatorState,
} from "./coordinator_state.ts";
import type { CoordinatorMessage } from "./messages.ts";

export interface CoordinatorDraft {
  state: CoordinatorState;
  readonly effects: CoordinatorEffect[];
  readonly nowMs: number;
}

export function createDraft(
  state: CoordinatorState,
  nowMs: number,
): CoordinatorDraft {
  return { state, effects: [], nowMs };
}

export function update(
  draft: CoordinatorDraft,
  change: Partial<CoordinatorState>,
): void {
  draft.state = { ...draft.state, ...change };
}

export function setPhase(
  draft: CoordinatorDraft,
  phase: CoordinatorPhase,
): void {
  update(draft, { phase });
}

export function sendToRank(
  draft: CoordinatorDraft,
  rank: number,
  message: CoordinatorMessage,
): void {
  draft.effects.push({ type: "send", to: { kind: "rank", rank }, message });
}

export function listRanks(state: CoordinatorState): readonly number[] {
  return Array.from({ length: state.options.groupSize }, (_, rank) => rank);
}
