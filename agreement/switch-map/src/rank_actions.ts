/**
 * Actions of the agent on its rank: staging weights, switching maps, and holding
 * and releasing steps. A hold is released only when nothing that the step depends
 * on is pending.
 */

import type { SettledMap } from "./messages.ts";
import { send, update } from "./rank_draft.ts";
import type { RankDraft } from "./rank_draft.ts";
import type { StagingOrder } from "./rank_state.ts";

const MAX_STAGED_VERSIONS = 4;

export function holdStep(draft: RankDraft, step: number): void {
  update(draft, { heldStep: step });
  draft.effects.push({ type: "holdStep", step });
}

/** Queues switches of the rank to these maps, each from its step on. */
export function enqueueMapSwitches(
  draft: RankDraft,
  maps: readonly SettledMap[],
): void {
  update(draft, { switching: [...draft.state.switching, ...maps] });
  continueMapSwitches(draft);
}

/** Requests the next staging or switch that the rank has not confirmed. */
export function continueMapSwitches(draft: RankDraft): void {
  const next = draft.state.switching[0];
  if (next === undefined) {
    releaseHoldIfSettled(draft);
    return;
  }
  if (!draft.state.stagedVersions.includes(next.mapVersion)) {
    draft.effects.push({ type: "stageMap", mapVersion: next.mapVersion });
    return;
  }
  const fromStep = Math.max(next.fromStep, draft.state.step + 1);
  draft.effects.push({
    type: "switchMap",
    mapVersion: next.mapVersion,
    fromStep,
  });
}

export function finishMapSwitch(draft: RankDraft, mapVersion: number): void {
  if (draft.state.switching[0]?.mapVersion !== mapVersion) return;
  update(draft, { switching: draft.state.switching.slice(1) });
  continueMapSwitches(draft);
}

export function handleStageOrder(draft: RankDraft, order: StagingOrder): void {
  update(draft, { stagingFor: [order] });
  if (draft.state.stagedVersions.includes(order.mapVersion)) {
    sendStaged(draft, order.mapVersion);
    return;
  }
  draft.effects.push({ type: "stageMap", mapVersion: order.mapVersion });
}

export function finishStaging(draft: RankDraft, mapVersion: number): void {
  const known = draft.state.stagedVersions.filter((v) => v !== mapVersion);
  update(draft, {
    stagedVersions: [...known, mapVersion].slice(-MAX_STAGED_VERSIONS),
  });
  sendStaged(draft, mapVersion);
  continueMapSwitches(draft);
}

/** Releases the hold unless the rank must wait for an outcome or a map. */
export function releaseHoldIfSettled(draft: RankDraft): void {
  const { open, join, switching, heldStep } = draft.state;
  if (join !== undefined || switching.length > 0) return;
  if (open !== undefined) {
    if (heldStep < open.proposal.fromStep) {
      holdStep(draft, open.proposal.fromStep);
    }
    return;
  }
  if (heldStep < 0) return;
  update(draft, { heldStep: -1 });
  draft.effects.push({ type: "releaseStep", step: heldStep });
}

function sendStaged(draft: RankDraft, mapVersion: number): void {
  const { stagingFor, self, step } = draft.state;
  const orders = stagingFor.filter((order) => order.mapVersion === mapVersion);
  for (const { fencingNumber } of orders) {
    const to = { kind: "coordinator", fencingNumber } as const;
    send(draft, to, { type: "staged", from: self, mapVersion, step });
  }
  update(draft, {
    stagingFor: stagingFor.filter((order) => order.mapVersion !== mapVersion),
  });
}
