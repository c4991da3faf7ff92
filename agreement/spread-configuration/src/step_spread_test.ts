import assert from "node:assert/strict";
import { test } from "node:test";
import type {
  ObjectChange,
  StoredObject,
  ViewDelta,
  ViewMessage,
} from "@dandelionbank/types";
import {
  createSpreadState,
  FRESHNESS_MS,
  mayAcceptWork,
  ObjectTable,
  stepSpread,
} from "./mod.ts";
import type { SpreadEffect, SpreadEvent } from "./mod.ts";

const ENTRIES = ["a", "b", "c", "d", "e"];

function createObject(name: string, revision: number): StoredObject {
  return {
    kind: "contract",
    name,
    uid: `${name}-1`,
    revision,
    changeId: `${name}-${revision}`,
    value: { revision },
  };
}

function put(name: string, revision: number): ObjectChange {
  return { type: "put", object: createObject(name, revision) };
}

function remove(name: string, revision: number): ObjectChange {
  return {
    type: "delete",
    kind: "contract",
    name,
    uid: `${name}-1`,
    revision,
  };
}

function createDelta(
  since: number | undefined,
  revision: number,
  changes: readonly ObjectChange[] = [],
): ViewDelta {
  return { since, revision, changes };
}

function createNode(name: string, entries: readonly string[] = ENTRIES) {
  const state = createSpreadState({
    name,
    incarnation: "i1",
    pollOffset: ENTRIES.indexOf(name) + 1,
  });
  const send = (event: SpreadEvent, nowMs = 0): readonly SpreadEffect[] =>
    stepSpread(state, event, nowMs).effects;
  send({ type: "entriesChanged", entries });
  return { state, send };
}

function messagesOf(effects: readonly SpreadEffect[]): ViewMessage[] {
  return effects.flatMap((effect) =>
    effect.type === "send" ? [effect.message] : []
  );
}

const DELTA_CASES: readonly {
  readonly title: string;
  readonly deltas: readonly ViewDelta[];
  readonly revision: number;
  readonly objects: readonly string[];
}[] = [
  {
    title: "a delta without a gap",
    deltas: [createDelta(5, 7, [put("y", 6), remove("x", 7)])],
    revision: 7,
    objects: ["y 6"],
  },
  {
    title: "an older delta",
    deltas: [createDelta(2, 4, [put("x", 4), put("z", 3)])],
    revision: 5,
    objects: ["x 5"],
  },
  {
    title: "a delta across a gap",
    deltas: [createDelta(6, 8, [put("y", 8)])],
    revision: 5,
    objects: ["x 5"],
  },
  {
    title: "an older complete list",
    deltas: [createDelta(undefined, 4, [put("x", 3)])],
    revision: 5,
    objects: ["x 5"],
  },
  {
    title: "a newer complete list that lacks an object",
    deltas: [createDelta(undefined, 9, [put("y", 8)])],
    revision: 9,
    objects: ["y 8"],
  },
  {
    title: "a deletion and a late, overlapping delta with the older object",
    deltas: [
      createDelta(5, 7, [remove("x", 7)]),
      createDelta(4, 8, [put("x", 5), put("y", 8)]),
    ],
    revision: 8,
    objects: ["y 8"],
  },
  {
    title: "an object that was deleted and created again",
    deltas: [createDelta(5, 8, [remove("x", 6), put("x", 8)])],
    revision: 8,
    objects: ["x 8"],
  },
];

for (const { title, deltas, revision, objects } of DELTA_CASES) {
  test(`The object table is at revision ${revision} after ${title}`, () => {
    const table = ObjectTable.create();
    table.apply(createDelta(undefined, 5, [put("x", 5)]));
    for (const delta of deltas) table.apply(delta);
    const found = [...table.list()].map((o) => `${o.name} ${o.revision}`);
    assert.equal(table.revision, revision);
    assert.deepEqual(found, objects);
  });
}

test("A delta created for a peer brings it to the same objects", () => {
  const table = ObjectTable.create();
  const peer = ObjectTable.create();
  const first = createDelta(undefined, 3, [put("x", 1), put("y", 3)]);
  table.apply(first);
  peer.apply(first);
  table.apply(createDelta(3, 6, [remove("x", 4), put("z", 6)]));
  peer.apply(table.createDeltaSince(peer.revision));
  assert.deepEqual([...peer.list()], [...table.list()]);
});

test("A deletion of an unknown object is passed on", () => {
  const table = ObjectTable.create();
  table.apply(createDelta(undefined, 3, [put("x", 3)]));
  const applied = table.apply(createDelta(3, 5, [remove("y", 5)]));
  assert.deepEqual(applied, [remove("y", 5)]);
});

test("After a complete list no delta lacks a deletion", () => {
  const table = ObjectTable.create();
  const peer = ObjectTable.create();
  table.apply(createDelta(undefined, 3, [put("x", 1)]));
  peer.apply(createDelta(undefined, 3, [put("x", 1)]));
  peer.apply(createDelta(3, 4, [put("y", 4)]));
  table.apply(createDelta(undefined, 6, [put("x", 1)]));
  peer.apply(table.createDeltaSince(peer.revision));
  assert.deepEqual([...peer.list()], [...table.list()]);
});

test("A change is pushed at once to a process that pulled", () => {
  const { send } = createNode("a");
  send({
    type: "platformRead",
    askedAtMs: 0,
    delta: createDelta(undefined, 5),
  });
  const pull = {
    type: "viewPull",
    from: "d",
    incarnation: "i1",
    sequence: 1,
    revision: 5,
  } as const;
  send({ type: "received", message: pull }, 10);
  const effects = send({
    type: "watchDelivered",
    delta: createDelta(5, 6, [put("x", 6)]),
  }, 20);
  assert.deepEqual(messagesOf(effects), [{
    type: "viewPush",
    from: "a",
    delta: createDelta(5, 6, [put("x", 6)]),
  }]);
});

test("A push across a gap is answered by a pull", () => {
  const { send } = createNode("d");
  const delta = createDelta(8, 9);
  const message: ViewMessage = { type: "viewPush", from: "a", delta };
  const [pull] = messagesOf(send({ type: "received", message }));
  assert.equal(pull?.type === "viewPull" && pull.revision, 0);
});

/** Creates a reply to d's first pull, which is sent at 100 ms. */
function createReply(
  values: Partial<Extract<ViewMessage, { type: "viewReply" }>>,
): SpreadEvent {
  return {
    type: "received",
    message: {
      type: "viewReply",
      from: "a",
      incarnation: "i1",
      sequence: 0,
      revision: 5,
      outage: [],
      delta: createDelta(undefined, 5, [put("x", 5)]),
      ...values,
    },
  };
}

const TWO_CLAIMS = [
  { watcher: "a", ageMs: 0, sinceAgeMs: 0 },
  { watcher: "b", ageMs: 0, sinceAgeMs: 0 },
];

const WORK_CASES: readonly {
  readonly title: string;
  readonly event: SpreadEvent;
  readonly readFails?: boolean;
  readonly atMs: number;
  readonly may: boolean;
}[] = [
  {
    title: "it has just received a fresh view",
    event: createReply({ ageMs: 1_000 }),
    atMs: 300,
    may: true,
  },
  {
    title: "the freshness, counted from when the pull was sent, ends now",
    event: createReply({ ageMs: 1_000 }),
    atMs: 100 - 1_000 + FRESHNESS_MS,
    may: false,
  },
  {
    title: "the reply has no evidence of freshness",
    event: createReply({}),
    atMs: 300,
    may: false,
  },
  {
    title: "it does not have the fresh revision yet",
    event: createReply({ ageMs: 0, revision: 6 }),
    atMs: 300,
    may: false,
  },
  {
    title: "most watchers claim an outage and its own read failed",
    event: createReply({ ageMs: 2_500, outage: TWO_CLAIMS }),
    readFails: true,
    atMs: 5_000,
    may: true,
  },
  {
    title: "its view was no longer fresh when the outage began",
    event: createReply({ ageMs: 3_500, outage: TWO_CLAIMS }),
    readFails: true,
    atMs: 5_000,
    may: false,
  },
  {
    title: "its own read didn't fail",
    event: createReply({ ageMs: 2_500, outage: TWO_CLAIMS }),
    atMs: 5_000,
    may: false,
  },
  {
    title: "only one watcher of three claims an outage",
    event: createReply({ ageMs: 2_500, outage: TWO_CLAIMS.slice(1) }),
    readFails: true,
    atMs: 5_000,
    may: false,
  },
  {
    title: "the claims are older than the last evidence of freshness",
    event: createReply({
      ageMs: 0,
      outage: TWO_CLAIMS.map((claim) => ({
        ...claim,
        ageMs: 500,
        sinceAgeMs: 500,
      })),
    }),
    readFails: true,
    atMs: 100 + FRESHNESS_MS,
    may: false,
  },
  {
    title: "it has no view at all during an outage",
    event: createReply({
      revision: 0,
      outage: TWO_CLAIMS,
      delta: createDelta(undefined, 0),
    }),
    readFails: true,
    atMs: 300,
    may: false,
  },
];

for (const { title, event, readFails, atMs, may } of WORK_CASES) {
  test(`A process ${may ? "accepts" : "accepts no"} new work when ${title}`, () => {
    const { state, send } = createNode("d");
    send({ type: "tick" }, 100);
    if (readFails) send({ type: "readFailed", askedAtMs: 150 }, 150);
    send(event, 200);
    assert.equal(mayAcceptWork(state, atMs), may);
  });
}

test("A reply without a pull is ignored", () => {
  const { state, send } = createNode("d");
  send(createReply({ ageMs: 0 }), 200);
  assert.equal(mayAcceptWork(state, 200), false);
});

for (
  const { title, failedAtMs, may } of [
    { title: "its reads failed without a gap", failedAtMs: 3_000, may: true },
    {
      title: "it was paused between failed reads",
      failedAtMs: 30_000,
      may: false,
    },
  ]
) {
  test(`A watcher ${may ? "accepts" : "accepts no"} work in an outage when ${title}`, () => {
    const { state, send } = createNode("a", ["a"]);
    const delta = createDelta(undefined, 5);
    send({ type: "platformRead", askedAtMs: 0, delta });
    send({ type: "readFailed", askedAtMs: 1_000 }, 2_500);
    send({ type: "readFailed", askedAtMs: failedAtMs }, failedAtMs + 1_500);
    const atMs = Math.max(failedAtMs + 1_500, FRESHNESS_MS + 1);
    assert.equal(mayAcceptWork(state, atMs), may);
  });
}

test("A reply to a predecessor of the same name is not evidence of freshness", () => {
  const { state, send } = createNode("d");
  send({ type: "tick" }, 100);
  send(createReply({ ageMs: 0, incarnation: "i0" }), 200);
  assert.equal(mayAcceptWork(state, 200), false);
});

test("A stale read of the platform is not evidence of freshness", () => {
  const { state, send } = createNode("a");
  send({ type: "watchDelivered", delta: createDelta(undefined, 9) }, 0);
  send({ type: "tick" }, 100);
  send({
    type: "platformRead",
    askedAtMs: 100,
    delta: createDelta(undefined, 7),
  }, 200);
  assert.equal(mayAcceptWork(state, 200), false);
  send({ type: "revisionRead", askedAtMs: 100, revision: 9 }, 200);
  assert.equal(mayAcceptWork(state, 200), true);
});

test("Three entries watch; a process whose view ages pulls from others, then reads the platform", () => {
  const watching = ENTRIES.filter((name) => createNode(name).state.watching);
  assert.deepEqual(watching, ["a", "b", "c"]);
  const { send } = createNode("e");
  const asked = (nowMs: number) =>
    send({ type: "tick" }, nowMs).map((effect) =>
      effect.type === "send" ? "pull" : effect.type
    );
  assert.deepEqual(asked(0), ["readPlatform", "pull", "pull"]);
  assert.deepEqual(asked(500), []);
  send(
    { type: "platformRead", askedAtMs: 0, delta: createDelta(undefined, 5) },
    500,
  );
  assert.deepEqual(asked(1_000), ["pull"]);
  assert.deepEqual(asked(4_000), ["pull", "pull"]);
  assert.deepEqual(asked(5_000), ["readPlatform", "pull", "pull"]);
});
