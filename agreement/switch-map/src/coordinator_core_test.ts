import assert from "node:assert/strict";
import { test } from "node:test";
import { startCoordinator, stepCoordinator } from "./mod.ts";
import type {
  CoordinatorEffect,
  CoordinatorEvent,
  MapProposal,
  RankMessage,
  StatusMessage,
  VoteKind,
} from "./mod.ts";

const RANKS = [0, 1, 2];
const FIRST_VERSION = 7 * 4096 + 1;

test("The coordinator proposes a step after the latest one, once all ranks have staged", () => {
  const run = createIdleRun();
  run.handle({ type: "plan" });
  run.staged(0, 10);
  run.staged(1, 11);
  assert.equal(run.find("propose"), undefined);
  run.staged(2, 10);
  assert.deepEqual(run.find("propose")?.proposal, {
    mapVersion: FIRST_VERSION,
    fromStep: 31,
    baseVersion: 1,
    fencingNumber: 7,
  });
});

test("The coordinator proposes nothing before the previous switch is in force", () => {
  const run = createIdleRun({ mapVersion: 1, fromStep: 50 });
  run.handle({ type: "plan" });
  for (const rank of RANKS) run.staged(rank, 10);
  assert.equal(run.find("propose"), undefined);
  for (const rank of RANKS) run.staged(rank, 50);
  assert.equal(run.find("propose")?.proposal.fromStep, 70);
});

test("All promises together form a certificate, and all confirmations end the switch", () => {
  const run = createVotingRun();
  for (const rank of RANKS) run.vote(rank, "promised");
  assert.deepEqual(run.find("certificate")?.promisedBy, [1, 1, 1]);
  for (const rank of RANKS) run.vote(rank, "committed");
  assert.equal(run.settled()?.committed, true);
  run.handle({ type: "plan" });
  assert.equal(run.refusals(), 0, "ready for the next plan");
});

test("A refusal is sent to all ranks, and after an abort all are queried again", () => {
  const run = createVotingRun();
  run.vote(0, "promised");
  run.vote(1, "aborted");
  assert.deepEqual(run.find("abort")?.by, { rank: 1, incarnation: 1 });
  run.vote(0, "aborted");
  run.effects.length = 0;
  run.vote(2, "aborted");
  assert.equal(run.settled()?.committed, false);
  assert.notEqual(run.find("query"), undefined);
});

test("A vote of a superseded incarnation is ignored", () => {
  const run = createVotingRun();
  run.vote(1, "promised", 2);
  run.vote(1, "aborted", 1);
  assert.equal(run.find("abort"), undefined);
});

test("A commit overrides the refusal of a superseded incarnation", () => {
  const run = createVotingRun();
  run.vote(1, "aborted", 1);
  run.vote(0, "committed");
  run.vote(2, "committed");
  assert.equal(run.settled(), undefined);
  run.vote(1, "committed", 2);
  assert.equal(run.settled()?.committed, true);
});

test("A successor settles an open proposal and cancels it at ranks without a promise", () => {
  const run = createRun();
  const open: MapProposal = {
    mapVersion: 5 * 4096 + 1,
    fromStep: 30,
    baseVersion: 1,
    fencingNumber: 5,
  };
  run.status(0, { open });
  run.status(1);
  run.effects.length = 0;
  run.status(2, { open });
  assert.equal(run.find("cancel")?.mapVersion, open.mapVersion);
  assert.deepEqual(run.find("propose")?.proposal, open);
});

test("The coordinator abandons a map that a rank does not stage in time", () => {
  const run = createIdleRun();
  run.handle({ type: "plan" });
  run.staged(0, 10);
  run.handle({ type: "tick" }, 999);
  assert.equal(run.settled(), undefined);
  run.handle({ type: "tick" }, 1_100);
  assert.equal(run.settled()?.committed, false);
});

test("The coordinator refuses a plan while a switch is in progress", () => {
  const run = createVotingRun();
  run.handle({ type: "plan" });
  assert.equal(run.refusals(), 1);
});

type Sent<Type extends string> = Extract<
  Extract<CoordinatorEffect, { type: "send" }>["message"],
  { type: Type }
>;

function createRun() {
  const started = startCoordinator({
    group: "g",
    groupSize: RANKS.length,
    fencingNumber: 7,
    leadSteps: 20,
    resendIntervalMs: 100,
    stageTimeoutMs: 1_000,
  }, 0);
  const effects: CoordinatorEffect[] = [...started.effects];
  let { state } = started;
  function handle(event: CoordinatorEvent, nowMs = 0): void {
    const result = stepCoordinator(state, event, nowMs);
    state = result.state;
    effects.push(...result.effects);
  }
  function receive(message: RankMessage): void {
    handle({ type: "message", message });
  }
  return {
    effects,
    handle,
    status(rank: number, change: Partial<StatusMessage> = {}): void {
      receive({ ...createStatus(rank), ...change });
    },
    staged(rank: number, step: number): void {
      const from = { rank, incarnation: 1 };
      receive({ type: "staged", from, mapVersion: FIRST_VERSION, step });
    },
    vote(rank: number, vote: VoteKind, incarnation = 1): void {
      const from = { rank, incarnation };
      const mapVersion = FIRST_VERSION;
      receive({ type: "vote", from, toIncarnation: 0, mapVersion, vote });
    },
    find<Type extends string>(type: Type): Sent<Type> | undefined {
      const messages = effects.flatMap((effect) =>
        effect.type === "send" ? [effect.message] : []
      );
      return messages.findLast((message): message is Sent<Type> =>
        message.type === type
      );
    },
    settled() {
      return effects.find((effect) => effect.type === "switchSettled");
    },
    refusals(): number {
      return effects.filter(({ type }) => type === "planRefused").length;
    },
  };
}

function createIdleRun(current = { mapVersion: 1, fromStep: 0 }) {
  const run = createRun();
  for (const rank of RANKS) run.status(rank, { current });
  run.effects.length = 0;
  return run;
}

function createVotingRun() {
  const run = createIdleRun();
  run.handle({ type: "plan" });
  for (const rank of RANKS) run.staged(rank, 10);
  return run;
}

function createStatus(rank: number): StatusMessage {
  return {
    type: "status",
    from: { rank, incarnation: 1 },
    serving: true,
    incarnations: [1, 1, 1],
    fencingFloor: 0,
    current: { mapVersion: 1, fromStep: 0 },
    previous: { mapVersion: 0, fromStep: 0 },
    closedVersion: 1,
    evidence: { step: -1, mapVersion: 0 },
  };
}
