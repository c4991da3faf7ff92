/**
 * State machine in the agent of one rank of a group whose ranks run in lockstep.
 * It votes on proposed expert maps, determines their outcome and lets its rank
 * begin a step only under the map that the whole group uses in that step. Pure:
 * times are passed in, as milliseconds of a monotonic clock.
 */

import type { Step } from "@dandelionbank/types";
import type {
  AbortMessage,
  CertificateMessage,
  CoordinatorMessage,
  RankMessage,
  SwitchMessage,
} from "./messages.ts";
import {
  isSenderSuperseded,
  reportViolation,
  send,
  update,
} from "./rank_draft.ts";
import type { RankDraft } from "./rank_draft.ts";
import {
  beginJoin,
  createStatus,
  handleStatus,
  recordSender,
  sendJoinToMissingPeers,
} from "./rank_join.ts";
import type {
  RankEffect,
  RankEvent,
  RankOptions,
  RankState,
} from "./rank_state.ts";
import {
  continueMapSwitches,
  finishMapSwitch,
  finishStaging,
  handleStageOrder,
} from "./rank_actions.ts";
import { abortOpenProposal } from "./rank_outcomes.ts";
import {
  evaluateProposal,
  handleStepHeld,
  handleVote,
  listRanksWithoutPromise,
  recordPromises,
  refuseUnlessPromised,
} from "./rank_votes.ts";

/** Starts the agent; the rank's next step is held until all peers have answered. */
export function startRank(
  options: RankOptions,
  nowMs: number,
): Step<RankState, RankEffect> {
  const { roster, self, evidence, recorded } = options;
  const state: RankState = {
    group: options.group,
    self,
    groupSize: options.groupSize,
    evidence,
    askIntervalMs: options.askIntervalMs,
    incarnations: roster.with(self.rank, self.incarnation),
    fencingFloor: 0,
    current: recorded.current,
    previous: recorded.previous,
    switching: [],
    closedVersion: 0,
    superseded: false,
    stagedVersions: [],
    stagingFor: [],
    step: evidence.step,
    heldStep: -1,
  };
  const draft: RankDraft = { state, effects: [], nowMs };
  beginJoin(draft);
  return draft;
}

export function stepRank(
  state: RankState,
  event: RankEvent,
  nowMs: number,
): Step<RankState, RankEffect> {
  if (state.superseded) return { state, effects: [] };
  const draft: RankDraft = { state, effects: [], nowMs };
  handleEvent(draft, event);
  return { state: draft.state, effects: draft.effects };
}

function handleEvent(draft: RankDraft, event: RankEvent): void {
  switch (event.type) {
    case "message":
      return handleMessage(draft, event.message);
    case "tick":
      return handleTick(draft);
    case "stepHeld":
      return handleStepHeld(draft, event);
    case "mapStaged":
      return finishStaging(draft, event.mapVersion);
    case "mapSwitched":
      return finishMapSwitch(draft, event.mapVersion);
    case "stepStarted":
      return handleStepStarted(draft, event);
  }
}

function handleMessage(draft: RankDraft, message: SwitchMessage): void {
  if (isForSuccessor(draft, message)) {
    update(draft, { superseded: true });
    draft.effects.push({ type: "superseded" });
    return;
  }
  if ("fencingNumber" in message) {
    if (draft.state.join === undefined) {
      handleCoordinatorMessage(draft, message);
    }
    return;
  }
  if (isSenderSuperseded(draft.state, message.from)) {
    notifySuperseded(draft, message);
    return;
  }
  recordSender(draft, message.from);
  handlePeerMessage(draft, message);
}

/** Notifies a superseded incarnation that asks, by a status with the newer one. */
function notifySuperseded(draft: RankDraft, message: RankMessage): void {
  if (message.type !== "ask" && message.type !== "join") return;
  const { rank, incarnation } = message.from;
  const to = { kind: "rank", rank, formerIncarnation: incarnation } as const;
  send(draft, to, createStatus(draft.state));
}

/** Whether the message shows that a newer incarnation of this rank exists. */
function isForSuccessor(draft: RankDraft, message: SwitchMessage): boolean {
  const { rank, incarnation } = draft.state.self;
  switch (message.type) {
    case "ask":
    case "vote":
      return message.toIncarnation > incarnation;
    case "status":
      return (message.incarnations[rank] ?? 0) > incarnation;
    case "certificate":
      return (message.promisedBy[rank] ?? 0) > incarnation;
    case "abort":
      return message.by.rank === rank && message.by.incarnation > incarnation;
    default:
      return false;
  }
}

function handlePeerMessage(draft: RankDraft, message: RankMessage): void {
  const to = { kind: "rank", rank: message.from.rank } as const;
  if (message.type === "join") {
    const { incarnation } = message.from;
    const join = { incarnation, round: message.round };
    send(draft, to, createStatus(draft.state, join));
    return;
  }
  if (message.type === "status") {
    handleStatus(draft, message);
    return;
  }
  if (draft.state.join !== undefined) return;
  if (message.type === "vote") handleVote(draft, message);
  if (message.type !== "ask") return;
  evaluateProposal(draft, message.proposal, to);
  recordPromises(draft, message.proposal.mapVersion, [message.from]);
}

function handleCoordinatorMessage(
  draft: RankDraft,
  message: CoordinatorMessage,
): void {
  const { fencingNumber } = message;
  const to = { kind: "coordinator", fencingNumber } as const;
  switch (message.type) {
    case "propose":
      raiseFencingFloor(draft, fencingNumber);
      return evaluateProposal(draft, message.proposal, to);
    case "cancel":
      raiseFencingFloor(draft, fencingNumber);
      return refuseUnlessPromised(draft, message.mapVersion, to);
    case "query":
      raiseFencingFloor(draft, fencingNumber);
      return send(draft, to, createStatus(draft.state));
    case "stage":
      if (fencingNumber < draft.state.fencingFloor) return;
      raiseFencingFloor(draft, fencingNumber);
      return handleStageOrder(draft, message);
    case "abort":
      handleAbort(draft, message);
      return refuseUnlessPromised(draft, message.mapVersion, to);
    case "certificate":
      handleCertificate(draft, message);
      return refuseUnlessPromised(draft, message.mapVersion, to);
  }
}

function handleAbort(draft: RankDraft, message: AbortMessage): void {
  const { by, mapVersion } = message;
  if (isSenderSuperseded(draft.state, by)) return;
  handleVote(draft, { from: by, mapVersion, vote: "aborted" });
}

function handleCertificate(
  draft: RankDraft,
  message: CertificateMessage,
): void {
  const promises = message.promisedBy
    .map((incarnation, rank) => ({ rank, incarnation }))
    .filter(({ incarnation }) => incarnation > 0);
  recordPromises(draft, message.mapVersion, promises);
}

function raiseFencingFloor(draft: RankDraft, fencingNumber: number): void {
  const fencingFloor = Math.max(draft.state.fencingFloor, fencingNumber);
  update(draft, { fencingFloor });
}

function handleTick(draft: RankDraft): void {
  const { join, open, switching } = draft.state;
  if (join !== undefined) {
    if (draft.nowMs >= join.askAtMs) sendJoinToMissingPeers(draft);
    return;
  }
  if (switching.length > 0) continueMapSwitches(draft);
  if (open?.promised && draft.nowMs >= open.askAtMs) requestMissingVotes(draft);
}

/** Asks peers whose promise is missing: first one, then twice as many each time. */
function requestMissingVotes(draft: RankDraft): void {
  const { open, self, askIntervalMs, groupSize, incarnations } = draft.state;
  if (open === undefined) return;
  const missing = listRanksWithoutPromise(draft.state);
  const first = missing.findIndex((rank) => rank > self.rank);
  const ordered = [...missing.slice(Math.max(first, 0)), ...missing]
    .slice(0, missing.length);
  const count = 2 ** open.rounds;
  const asked = ordered.slice(0, count);
  update(draft, {
    open: {
      ...open,
      rounds: count < groupSize ? open.rounds + 1 : open.rounds,
      askAtMs: draft.nowMs + askIntervalMs,
    },
  });
  for (const rank of asked) {
    const to = { kind: "rank", rank } as const;
    send(draft, to, {
      type: "ask",
      from: self,
      toIncarnation: incarnations[rank] ?? 0,
      proposal: open.proposal,
    });
  }
}

/** Checks each step that the rank begins against the settled maps. */
function handleStepStarted(
  draft: RankDraft,
  report: { readonly step: number; readonly mapVersion: number },
): void {
  const { current, previous, open } = draft.state;
  const expected = report.step >= current.fromStep ? current : previous;
  update(draft, { step: Math.max(draft.state.step, report.step) });
  if (expected.mapVersion !== report.mapVersion) {
    reportViolation(
      draft,
      "oneMapPerStep",
      `Step ${report.step} began under map ${report.mapVersion} in place of ${expected.mapVersion}`,
    );
  }
  if (open === undefined || report.step < open.proposal.fromStep) return;
  if (!open.promised) {
    abortOpenProposal(draft);
    return;
  }
  reportViolation(
    draft,
    "noStepBeforeOutcome",
    `Step ${report.step} began before the outcome of map ${open.proposal.mapVersion}`,
  );
}
