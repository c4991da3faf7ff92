import assert from "node:assert/strict";
import { test } from "node:test";
import { stepRank } from "@dandelionbank/switch-map";
import { GroupFixture } from "./group_fixture.ts";
import type { SentMessage } from "./rank_node.ts";
import { createProposal, SWITCH_STEP } from "./scenarios.ts";

const FIRST = createProposal(1).mapVersion;
const SECOND = createProposal(2).mapVersion;

test("All ranks switch at the proposed step once every rank has promised", () => {
  const group = GroupFixture.create();
  group.propose(group.ranks);
  group.advanceAll();
  assert.deepEqual(group.steps, [0, 0, 0], "held until the outcome is known");
  group.runRounds();
  assert.deepEqual(group.mapVersions, [FIRST, FIRST, FIRST]);
  assert.equal(group.node(0).engine.mapOfStep[SWITCH_STEP], FIRST);
  assert.deepEqual(group.violations, []);
});

test("A successor does not abort a proposal that its predecessor promised", () => {
  for (const replace of ["replaceAgent", "replaceRank"] as const) {
    const group = GroupFixture.create();
    group.propose(group.ranks);
    group.queue = [];
    group[replace](1);
    group.deliverAll();
    assert.equal(group.node(1).agent.open?.proposal.mapVersion, FIRST);
    group.sendFromCoordinator(1, {
      type: "cancel",
      fencingNumber: 2,
      mapVersion: FIRST,
    });
    group.runRounds();
    assert.deepEqual(group.mapVersions, [FIRST, FIRST, FIRST]);
    assert.deepEqual(group.violations, []);
  }
});

test("A new agent asks its peers about an earlier proposal instead of aborting it", () => {
  const group = GroupFixture.create();
  group.propose(group.ranks);
  group.queue = [];
  group.replaceAgent(1);
  const before = group.queue.length;
  group.propose([1]);
  assert.equal(group.queue.length, before, "no vote before the join completes");
  group.runRounds();
  assert.deepEqual(group.mapVersions, [FIRST, FIRST, FIRST]);
});

test("A new agent determines from its rank's step that the switch took place", () => {
  const group = GroupFixture.create();
  group.propose(group.ranks);
  group.queue = [];
  group.sendFromCoordinator(0, {
    type: "certificate",
    fencingNumber: 1,
    mapVersion: FIRST,
    promisedBy: [1, 1, 1],
  });
  group.advanceAll();
  assert.deepEqual(group.steps, [1, 0, 0]);
  group.queue = [];
  group.replaceAgent(0);
  group.runRounds();
  assert.deepEqual(group.mapVersions, [FIRST, FIRST, FIRST]);
  assert.deepEqual(group.violations, []);
});

test("A rank with an open promise makes no other until the first is settled", () => {
  const group = GroupFixture.create();
  group.propose([0, 1], 1);
  group.propose([2], 2);
  group.propose([0, 1], 2);
  assert.equal(group.node(0).agent.open?.proposal.mapVersion, FIRST);
  group.runRounds();
  assert.deepEqual(group.mapVersions, [1, 1, 1], "neither was unanimous");
  assert.equal(Math.min(...group.steps) > SWITCH_STEP, true);
  assert.deepEqual(group.violations, []);
});

test("A cancel aborts the proposal, and an abort is final", () => {
  const group = GroupFixture.create();
  group.propose([0, 1]);
  group.sendFromCoordinator(2, {
    type: "cancel",
    fencingNumber: 1,
    mapVersion: FIRST,
  });
  group.runRounds(1);
  group.propose([2]);
  assert.deepEqual(listVotes(group.queue), ["aborted"]);
  group.runRounds();
  assert.deepEqual(group.mapVersions, [1, 1, 1]);
  assert.deepEqual(group.violations, []);
});

test("A coordinator that resumes with an old fencing number gets aborts", () => {
  const group = GroupFixture.create();
  for (const rank of group.ranks) {
    group.sendFromCoordinator(rank, { type: "query", fencingNumber: 2 });
  }
  group.queue = [];
  group.propose(group.ranks, 1);
  assert.deepEqual(listVotes(group.queue), ["aborted", "aborted", "aborted"]);
});

test("A replaced rank learns the group's map from its peers before its first step", () => {
  const group = GroupFixture.create();
  group.propose(group.ranks);
  group.runRounds(2);
  group.replaceRank(2);
  group.advanceAll();
  assert.equal(group.node(2).engine.mapOfStep.length, 0, "begins no step yet");
  group.runRounds();
  assert.equal(group.node(2).agent.current.mapVersion, FIRST);
  assert.deepEqual(group.violations, []);
});

test("A promise of a replaced incarnation is not counted", () => {
  const group = GroupFixture.create();
  group.propose([0]);
  const lateMessages = group.queue;
  group.queue = [];
  group.replaceRank(0);
  group.deliverAll();
  group.propose([1, 2]);
  group.sendFromCoordinator(0, {
    type: "cancel",
    fencingNumber: 1,
    mapVersion: FIRST,
  });
  group.sendFromCoordinator(1, {
    type: "certificate",
    fencingNumber: 1,
    mapVersion: FIRST,
    promisedBy: [1, 1, 1],
  });
  for (const sent of lateMessages) group.deliver(sent);
  group.runRounds();
  assert.deepEqual(group.mapVersions, [1, 1, 1]);
  assert.deepEqual(group.violations, []);
});

test("A second replacement during a join starts another round of the join", () => {
  const group = GroupFixture.create();
  group.propose([0]);
  group.queue = [];
  group.replaceAgent(0);
  const earlyJoins = group.withhold(isJoinTo(2));
  group.deliverAll();
  group.propose([1, 2]);
  group.replaceAgent(2);
  for (const sent of earlyJoins) group.deliver(sent);
  assert.equal(group.node(0).agent.join?.round, 1);
  group.deliverAll();
  assert.notEqual(group.node(0).agent.join?.round, 1);
  group.runRounds();
  assert.deepEqual(new Set(group.mapVersions).size, 1);
  assert.deepEqual(group.violations, []);
});

test("A successor releases the hold that its predecessor placed", () => {
  const group = GroupFixture.create();
  group.propose(group.ranks);
  group.queue = [];
  group.replaceRank(1);
  group.deliverAll();
  assert.equal(group.node(1).engine.heldStep, SWITCH_STEP);
  group.sendFromCoordinator(2, {
    type: "certificate",
    fencingNumber: 1,
    mapVersion: FIRST,
    promisedBy: [1, 2, 1],
  });
  group.queue = [];
  group.replaceAgent(1);
  group.runRounds();
  assert.ok(Math.min(...group.steps) > SWITCH_STEP, `${group.steps}`);
});

test("A successor ignores join answers that were sent to its predecessor", () => {
  const group = GroupFixture.create();
  group.replaceAgent(1);
  for (const sent of group.withhold(isJoinTo(2))) group.deliver(sent);
  const lateStatuses = group.withhold(({ message }) =>
    message.type === "status"
  );
  group.queue = [];
  group.propose([0, 2]);
  group.replaceAgent(1);
  for (const sent of lateStatuses) group.deliver(sent);
  assert.deepEqual(group.node(1).agent.join?.answers, [null, null, null]);
});

test("A rank reports no promise in its status before its step is on hold", () => {
  const group = GroupFixture.create();
  const proposal = createProposal(1);
  const propose = { type: "propose", fencingNumber: 1, proposal } as const;
  const { agent } = group.node(0);
  const opened = stepRank(agent, { type: "message", message: propose }, 0);
  assert.equal(opened.state.open?.promised, false);
  const query = { type: "query", fencingNumber: 2 } as const;
  const queried = stepRank(
    opened.state,
    { type: "message", message: query },
    0,
  );
  const [status] = queried.effects;
  assert.ok(status?.type === "send" && status.message.type === "status");
  assert.equal(status.message.open, undefined);
});

test("The map that a rank runs takes precedence over a stale record", () => {
  const group = GroupFixture.create(2);
  group.propose(group.ranks);
  group.runRounds(3);
  group.queue = [];
  group.replaceRank(1);
  group.replaceAgent(0);
  group.runRounds();
  assert.deepEqual(group.mapVersions, [FIRST, FIRST]);
  assert.deepEqual(group.violations, []);
});

test("A stalled rank delays the switch without violations", () => {
  const group = GroupFixture.create();
  group.propose([0, 1]);
  const isForStalledRank = (sent: SentMessage) =>
    sent.to.kind === "rank" && sent.to.rank === 2;
  for (let round = 0; round < 5; round += 1) {
    group.handleEvent(0, { type: "tick" });
    group.handleEvent(1, { type: "tick" });
    group.withhold(isForStalledRank);
    group.deliverAll();
  }
  assert.deepEqual(group.mapVersions, [1, 1, 1]);
  group.propose([2]);
  group.runRounds();
  assert.deepEqual(group.mapVersions, [FIRST, FIRST, FIRST]);
});

test("A record that is stale after a store outage is not used", () => {
  const group = GroupFixture.create();
  group.propose(group.ranks);
  group.runRounds(2);
  group.replaceRank(1);
  group.replaceAgent(2);
  assert.equal(group.node(1).agent.current.mapVersion, 1);
  group.runRounds();
  assert.deepEqual(group.mapVersions, [FIRST, FIRST, FIRST]);
  assert.deepEqual(group.violations, []);
});

test("A rank that begins a step under another map than the settled one is reported", () => {
  const group = GroupFixture.create();
  group.handleEvent(0, { type: "stepStarted", step: 1, mapVersion: SECOND });
  assert.match(
    group.violations.join(),
    /^oneMapPerStep: Step 1 began under map/,
  );
});

function isJoinTo(rank: number): (sent: SentMessage) => boolean {
  return ({ to, message }) =>
    to.kind === "rank" && to.rank === rank && message.type === "join";
}

function listVotes(sent: readonly SentMessage[]): readonly string[] {
  return sent.map(({ message }) =>
    message.type === "vote" ? message.vote : message.type
  );
}
