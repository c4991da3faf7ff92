import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { AgentRegistration, VmListing } from "@dandelionbank/types";
import { createMembershipState, updateMembership } from "./mod.ts";
import type { Member, MemberEffect, MemberEvent } from "./mod.ts";

const NAMES = ["t0", "t1", "t2", "t3"];

function createAgent(name: string, incarnation = "i1"): AgentRegistration {
  const dataCentre = NAMES.indexOf(name) < 2 ? "kochi-1" : "kochi-2";
  return {
    target: { name, kind: "engine", pool: "p", dataCentre },
    incarnation,
    peerUrl: `http://${name}`,
  };
}

function createVm(name: string, state: VmListing["state"] = "live"): VmListing {
  const { dataCentre } = createAgent(name).target;
  return { name, address: "127.0.0.1", dataCentre, state };
}

function listed(names: readonly string[]): MemberEvent {
  return { type: "vmsListed", vms: names.map((name) => createVm(name)) };
}

function agentEvent(
  type: "agentResponded" | "agentUnresponsive" | "agentLeaving",
  target: string,
  incarnation = "i1",
): MemberEvent {
  return { type, target, incarnation };
}

/** Applies events at their times; returns all effects and the last members. */
function applySteps(steps: readonly (readonly [number, MemberEvent])[]) {
  const state = createMembershipState();
  const agents = NAMES.map((name) => createAgent(name));
  const all: readonly (readonly [number, MemberEvent])[] = [
    [0, { type: "agentsChanged", agents }],
    [0, listed(NAMES)],
    ...steps,
  ];
  const effects: MemberEffect[] = [];
  let members: readonly Member[] = [];
  for (const [nowMs, event] of all) {
    for (const effect of updateMembership(state, event, nowMs).effects) {
      effects.push(effect);
      if (effect.type === "membersChanged") members = effect.members;
    }
  }
  const reasonOf = (name: string) =>
    members.find((member) => member.name === name)?.reason;
  const stateOf = (name: string) =>
    members.find((member) => member.name === name)?.state;
  return { effects, reasonOf, stateOf };
}

const TICK: MemberEvent = { type: "tick" };
const WITHOUT_T0 = listed(["t1", "t2", "t3"]);

const CASES: readonly {
  readonly title: string;
  readonly steps: readonly (readonly [number, MemberEvent])[];
  readonly reason: Member["reason"];
  readonly state: Member["state"];
}[] = [
  { title: "it is listed", steps: [], reason: "listed", state: "open" },
  {
    title: "it answers though the list lost it long ago",
    steps: [[1, agentEvent("agentResponded", "t0")], [2, WITHOUT_T0], [
      60_000,
      TICK,
    ]],
    reason: "answering",
    state: "open",
  },
  {
    title: "it is off the list for a moment",
    steps: [[1, WITHOUT_T0], [4_000, listed(NAMES)], [9_000, TICK]],
    reason: "listed",
    state: "open",
  },
  {
    title: "it is off the list and has never answered",
    steps: [[1, WITHOUT_T0], [6_000, TICK]],
    reason: "unlisted",
    state: "suspected",
  },
  {
    title: "it is listed but unresponsive",
    steps: [[1, agentEvent("agentUnresponsive", "t0")], [60_000, TICK]],
    reason: "unresponsive",
    state: "suspected",
  },
  {
    title: "it is unresponsive and off the list",
    steps: [[1, agentEvent("agentUnresponsive", "t0")], [2, WITHOUT_T0], [
      11_000,
      TICK,
    ]],
    reason: "gone",
    state: "closed",
  },
  {
    title: "it answers again after being unresponsive",
    steps: [
      [1, agentEvent("agentUnresponsive", "t0")],
      [2, WITHOUT_T0],
      [11_000, TICK],
      [12_000, agentEvent("agentResponded", "t0")],
    ],
    reason: "answering",
    state: "open",
  },
  {
    title: "it is unresponsive while its whole data centre is off the list",
    steps: [
      [1, agentEvent("agentUnresponsive", "t0")],
      [2, listed(["t2", "t3"])],
      [60_000, TICK],
    ],
    reason: "unresponsive",
    state: "suspected",
  },
  {
    title: "its agent reports that it is leaving, though it answers",
    steps: [[1, agentEvent("agentLeaving", "t0")], [
      2,
      agentEvent("agentResponded", "t0"),
    ]],
    reason: "leaving",
    state: "closed",
  },
  {
    title: "the list shows it as leaving",
    steps: [[1, { type: "vmsListed", vms: [createVm("t0", "leaving")] }]],
    reason: "leaving",
    state: "closed",
  },
  {
    title: "the list showed it as leaving and then lost it, though it answers",
    steps: [
      [1, { type: "vmsListed", vms: [createVm("t0", "leaving")] }],
      [2, WITHOUT_T0],
      [30_000, agentEvent("agentResponded", "t0")],
    ],
    reason: "leaving",
    state: "closed",
  },
  {
    title: "an operator stopped it",
    steps: [[1, { type: "stopsChanged", targets: ["t0"] }]],
    reason: "stopped",
    state: "closed",
  },
  {
    title: "a new incarnation replaces one that was leaving",
    steps: [
      [1, agentEvent("agentLeaving", "t0")],
      [2, { type: "agentsChanged", agents: [createAgent("t0", "i2")] }],
      [3, agentEvent("agentLeaving", "t0", "i1")],
    ],
    reason: "listed",
    state: "open",
  },
];

for (const { title, steps, reason, state } of CASES) {
  test(`A target is ${state} when ${title}`, () => {
    const { reasonOf, stateOf } = applySteps(steps);
    assert.equal(reasonOf("t0"), reason);
    assert.equal(stateOf("t0"), state);
  });
}

test("A data centre that vanishes from the list is reported once", () => {
  const { effects } = applySteps([
    [1, listed(["t2", "t3"])],
    [2_000, listed(["t2", "t3"])],
    [9_000, listed(["t2", "t3"])],
  ]);
  const distrusted = effects.filter(({ type }) => type === "listDistrusted");
  assert.deepEqual(distrusted, [
    { type: "listDistrusted", dataCentre: "kochi-1", vanished: 2 },
  ]);
});

test("Members are published only when they changed", () => {
  const { effects } = applySteps([[1, TICK], [2, listed(NAMES)], [3, TICK]]);
  assert.equal(effects.length, 1);
});

test("A target that answers and isn't leaving stays open, whatever the list says", () => {
  const listing = fc.subarray(NAMES).map(listed);
  const unresponsive = fc.constantFrom(...NAMES.slice(1)).map((name) =>
    agentEvent("agentUnresponsive", name)
  );
  const step = fc.tuple(
    fc.integer({ min: 1, max: 20_000 }),
    fc.oneof(listing, unresponsive, fc.constant(TICK)),
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
      let nowMs = 1;
      const timed = steps.map(([waitMs, event]) =>
        [nowMs += waitMs, event] as const
      );
      const { stateOf } = applySteps([
        [1, agentEvent("agentResponded", "t0")],
        ...timed,
      ]);
      assert.equal(stateOf("t0"), "open");
    }),
    { seed: 5, numRuns: 300 },
  );
});
