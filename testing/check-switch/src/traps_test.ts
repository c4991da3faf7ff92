import assert from "node:assert/strict";
import { test } from "node:test";
import { stepRank } from "@dandelionbank/switch-map";
import { GroupFixture } from "./group_fixture.ts";
import type { Sent } from "./rank_node.ts";
import { createProposal, SWITCH_STEP } from "./scenarios.ts";

const FIRST = createProposal(1).mapVersion;
const SECOND = createProposal(2).mapVersion;

test("All ranks switch at the step once every one of them has promised", () => {
  const group = GroupFixture.create();
  group.propose(group.ranks);
  group.advanceAll();
  assert.deepEqual(group.steps, [0, 0, 0], "held until the outcome is known");
  group.settle();
  assert.deepEqual(group.mapVersions, [FIRST, FIRST, FIRST]);
  assert.equal(group.node(0).engine.mapOfStep[SWITCH_STEP], FIRST);
  assert.deepEqual(group.violations, []);
});

test("A successor does not refuse what its predecessor promised", () => {
  for (const replace of ["replaceAgent", "replaceRank"] as const) {
    const group = GroupFixture.create();
    group.propose(group.ranks);
    group.queue = [];
    group[replace](1);
    group.deliverAll();
    assert.equal(group.node(1).agent.open?.proposal.mapVersion, FIRST);
    group.order(1, { type: "cancel", fencingNumber: 2, mapVersion: FIRST });
    group.settle();
    assert.deepEqual(group.mapVersions, [FIRST, FIRST, FIRST]);
    assert.deepEqual(group.violations, []);
  }
});

test("A proposal older than the incarnation is asked about, not refused", () => {
  const group = GroupFixture.create();
  group.propose(group.ranks);
  group.queue = [];
  group.replaceAgent(1);
  const before = group.queue.length;
  group.propose([1]);
  assert.equal(group.queue.length, before, "no vote while it learns");
  group.settle();
  assert.deepEqual(group.mapVersions, [FIRST, FIRST, FIRST]);
});

test("A successor learns from its rank that the switch took place", () => {
  const group = GroupFixture.create();
  group.propose(group.ranks);
  group.queue = [];
  group.order(0, {
    type: "certificate",
    fencingNumber: 1,
    mapVersion: FIRST,
    promisedBy: [1, 1, 1],
  });
  group.advanceAll();
  assert.deepEqual(group.steps, [1, 0, 0]);
  group.queue = [];
  group.replaceAgent(0);
  group.settle();
  assert.deepEqual(group.mapVersions, [FIRST, FIRST, FIRST]);
  assert.deepEqual(group.violations, []);
});

test("A rank with an open promise makes no second one until the first is settled", () => {
  const group = GroupFixture.create();
  group.propose([0, 1], 1);
  group.propose([2], 2);
  group.propose([0, 1], 2);
  assert.equal(group.node(0).agent.open?.proposal.mapVersion, FIRST);
  group.settle();
  assert.deepEqual(group.mapVersions, [1, 1, 1], "neither was unanimous");
  assert.equal(Math.min(...group.steps) > SWITCH_STEP, true);
  assert.deepEqual(group.violations, []);
});

test("A refusal aborts, and an abort once seen is final", () => {
  const group = GroupFixture.create();
  group.propose([0, 1]);
  group.order(2, { type: "cancel", fencingNumber: 1, mapVersion: FIRST });
  group.settle(1);
  group.propose([2]);
  assert.deepEqual(listVotes(group.queue), ["aborted"]);
  group.settle();
  assert.deepEqual(group.mapVersions, [1, 1, 1]);
  assert.deepEqual(group.violations, []);
});

test("A paused coordinator with an old fencing number gets refusals", () => {
  const group = GroupFixture.create();
  for (const rank of group.ranks) {
    group.order(rank, { type: "query", fencingNumber: 2 });
  }
  group.queue = [];
  group.propose(group.ranks, 1);
  assert.deepEqual(listVotes(group.queue), ["aborted", "aborted", "aborted"]);
});

test("A late rank learns the group's map from its peers before its first step", () => {
  const group = GroupFixture.create();
  group.propose(group.ranks);
  group.settle(2);
  group.replaceRank(2);
  group.advanceAll();
  assert.equal(group.node(2).engine.mapOfStep.length, 0, "begins no step yet");
  group.settle();
  assert.equal(group.node(2).agent.current.mapVersion, FIRST);
  assert.deepEqual(group.violations, []);
});

test("Nobody counts a promise of an incarnation that has a successor", () => {
  const group = GroupFixture.create();
  group.propose([0]);
  const late = group.queue;
  group.queue = [];
  group.replaceRank(0);
  group.deliverAll();
  group.propose([1, 2]);
  group.order(0, { type: "cancel", fencingNumber: 1, mapVersion: FIRST });
  group.order(1, {
    type: "certificate",
    fencingNumber: 1,
    mapVersion: FIRST,
    promisedBy: [1, 1, 1],
  });
  for (const sent of late) group.deliver(sent);
  group.settle();
  assert.deepEqual(group.mapVersions, [1, 1, 1]);
  assert.deepEqual(group.violations, []);
});

test("News of another new agent starts another round of questions", () => {
  const group = GroupFixture.create();
  group.propose([0]);
  group.queue = [];
  group.replaceAgent(0);
  const early = group.hold(isJoinTo(2));
  group.deliverAll();
  group.propose([1, 2]);
  group.replaceAgent(2);
  for (const sent of early) group.deliver(sent);
  assert.equal(group.node(0).agent.join?.round, 1);
  group.deliverAll();
  assert.notEqual(group.node(0).agent.join?.round, 1);
  group.settle();
  assert.deepEqual(new Set(group.mapVersions).size, 1);
  assert.deepEqual(group.violations, []);
});

test("A hold that a predecessor placed does not outlive it", () => {
  const group = GroupFixture.create();
  group.propose(group.ranks);
  group.queue = [];
  group.replaceRank(1);
  group.deliverAll();
  assert.equal(group.node(1).engine.heldStep, SWITCH_STEP);
  group.order(2, {
    type: "certificate",
    fencingNumber: 1,
    mapVersion: FIRST,
    promisedBy: [1, 2, 1],
  });
  group.queue = [];
  group.replaceAgent(1);
  group.settle();
  assert.ok(Math.min(...group.steps) > SWITCH_STEP, `${group.steps}`);
});

test("An answer to the predecessor is none to its successor", () => {
  const group = GroupFixture.create();
  group.replaceAgent(1);
  for (const sent of group.hold(isJoinTo(2))) group.deliver(sent);
  const late = group.hold(({ message }) => message.type === "status");
  group.queue = [];
  group.propose([0, 2]);
  group.replaceAgent(1);
  for (const sent of late) group.deliver(sent);
  assert.deepEqual(group.node(1).agent.join?.answers, [null, null, null]);
});

test("A rank that is not on hold yet has promised nothing in its status", () => {
  const group = GroupFixture.create();
  const proposal = createProposal(1);
  const propose = { type: "propose", fencingNumber: 1, proposal } as const;
  const { agent } = group.node(0);
  const opened = stepRank(agent, { type: "message", message: propose }, 0);
  assert.equal(opened.state.open?.promised, false);
  const query = { type: "query", fencingNumber: 2 } as const;
  const asked = stepRank(opened.state, { type: "message", message: query }, 0);
  const [status] = asked.effects;
  assert.ok(status?.type === "send" && status.message.type === "status");
  assert.equal(status.message.open, undefined);
});

test("A rank that runs a map counts for more than a stale record", () => {
  const group = GroupFixture.create(2);
  group.propose(group.ranks);
  group.settle(3);
  group.queue = [];
  group.replaceRank(1);
  group.replaceAgent(0);
  group.settle();
  assert.deepEqual(group.mapVersions, [FIRST, FIRST]);
  assert.deepEqual(group.violations, []);
});

test("A stalled rank stalls the switch and breaks nothing", () => {
  const group = GroupFixture.create();
  group.propose([0, 1]);
  const stalled = (sent: Sent) => sent.to.kind === "rank" && sent.to.rank === 2;
  for (let round = 0; round < 5; round += 1) {
    group.handle(0, { type: "tick" });
    group.handle(1, { type: "tick" });
    group.hold(stalled);
    group.deliverAll();
  }
  assert.deepEqual(group.mapVersions, [1, 1, 1]);
  group.propose([2]);
  group.settle();
  assert.deepEqual(group.mapVersions, [FIRST, FIRST, FIRST]);
});

test("A record that is stale since the store's outage does not count", () => {
  const group = GroupFixture.create();
  group.propose(group.ranks);
  group.settle(2);
  group.replaceRank(1);
  group.replaceAgent(2);
  assert.equal(group.node(1).agent.current.mapVersion, 1);
  group.settle();
  assert.deepEqual(group.mapVersions, [FIRST, FIRST, FIRST]);
  assert.deepEqual(group.violations, []);
});

test("A step under another map than the settled one is reported", () => {
  const group = GroupFixture.create();
  group.handle(0, { type: "stepStarted", step: 1, mapVersion: SECOND });
  assert.match(
    group.violations.join(),
    /^oneMapPerStep: Step 1 began under map/,
  );
});

function isJoinTo(rank: number): (sent: Sent) => boolean {
  return ({ to, message }) =>
    to.kind === "rank" && to.rank === rank && message.type === "join";
}

function listVotes(sent: readonly Sent[]): readonly string[] {
  return sent.map(({ message }) =>
    message.type === "vote" ? message.vote : message.type
  );
}
