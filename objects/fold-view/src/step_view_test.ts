import assert from "node:assert/strict";
import { test } from "node:test";
import type { ObjectKind, StoredObject } from "@dandelionbank/types";
import type { WatchEvent } from "@dandelionbank/watch-core";
import fc from "fast-check";
import { createViewState, stepView, type ViewEffect } from "./mod.ts";

interface ObjectOptions {
  readonly kind?: ObjectKind;
  readonly name?: string;
  readonly uid?: string;
  readonly value?: unknown;
}

function createObject(
  revision: number,
  { kind = "contract", name = "clinic", uid = "uid-1", value = "good" }:
    ObjectOptions = {},
): StoredObject {
  const changeId = `change-${revision}`;
  return { kind, name, uid, revision, changeId, value };
}

function put(revision: number, options: ObjectOptions = {}): WatchEvent {
  const object = createObject(revision, options);
  return { type: "changed", change: { type: "put", object } };
}

function remove(revision: number, options: ObjectOptions = {}): WatchEvent {
  const { kind, name, uid } = createObject(revision, options);
  const change = { type: "delete", kind, name, uid, revision } as const;
  return { type: "changed", change };
}

function listed(revision: number, ...items: StoredObject[]): WatchEvent {
  return { type: "listed", list: { items, revision } };
}

function bookmark(revision: number): WatchEvent {
  return { type: "bookmark", revision };
}

/** Accepts any value but `bad`, and marks accepted values as parsed. */
function parseObject({ value }: StoredObject) {
  return value === "bad"
    ? { kind: "invalid" as const, problems: ["value: found bad"] }
    : { kind: "ok" as const, value: `parsed ${value}` };
}

function fold(events: readonly WatchEvent[]) {
  let state = createViewState(parseObject);
  let lastEffects: readonly ViewEffect[] = [];
  for (const event of events) {
    const next = stepView(state, event);
    state = next.state;
    lastEffects = next.effects;
  }
  return { view: state.view, lastEffects };
}

/** Describes a view as its revision and each object's `name@revision`. */
function describeView(view: ReturnType<typeof fold>["view"]): string {
  if (view === undefined) return "none";
  const objects = [
    view.config,
    ...view.contracts.values(),
    ...view.stops.values(),
  ].flatMap((object) => object ?? []);
  const described = objects.map(({ name, revision }) => `${name}@${revision}`);
  return [`r${view.revision}`, ...described].join(" ");
}

const STOP = { kind: "stop", name: "engine", uid: "uid-2" } as const;
const CONFIG = { kind: "config", name: "config", uid: "uid-3" } as const;
const BAD = { value: "bad" };
const CHANGED = ["viewChanged"];
const REFUSED = ["objectRefused", "viewChanged"];
const IGNORED = ["olderStateIgnored"];
const CONFIRMED = ["viewConfirmed"];
const START = listed(5, createObject(3), createObject(4, CONFIG));

const CASES: readonly {
  readonly name: string;
  readonly events: readonly WatchEvent[];
  readonly view: string;
  readonly lastEffects: readonly string[];
}[] = [
  {
    name: "A change before a list",
    events: [put(1)],
    view: "none",
    lastEffects: IGNORED,
  },
  {
    name: "A bookmark before a list",
    events: [bookmark(1)],
    view: "none",
    lastEffects: IGNORED,
  },
  {
    name: "A list",
    events: [START],
    view: "r5 config@4 clinic@3",
    lastEffects: CHANGED,
  },
  {
    name: "A new object",
    events: [START, put(6, STOP)],
    view: "r6 config@4 clinic@3 engine@6",
    lastEffects: CHANGED,
  },
  {
    name: "A change",
    events: [START, put(6)],
    view: "r6 config@4 clinic@6",
    lastEffects: CHANGED,
  },
  {
    name: "A change of the config",
    events: [START, put(6, CONFIG)],
    view: "r6 config@6 clinic@3",
    lastEffects: CHANGED,
  },
  {
    name: "A repeated change",
    events: [START, put(6), put(6)],
    view: "r6 config@4 clinic@6",
    lastEffects: IGNORED,
  },
  {
    name: "An older change",
    events: [START, put(4)],
    view: "r5 config@4 clinic@3",
    lastEffects: IGNORED,
  },
  {
    name: "A deletion",
    events: [START, remove(6)],
    view: "r6 config@4",
    lastEffects: CHANGED,
  },
  {
    name: "A deletion of the config",
    events: [START, remove(6, CONFIG)],
    view: "r6 clinic@3",
    lastEffects: CHANGED,
  },
  {
    name: "A deletion of an object outside the view",
    events: [START, remove(6, STOP)],
    view: "r6 config@4 clinic@3",
    lastEffects: CONFIRMED,
  },
  {
    name: "An older deletion",
    events: [START, remove(5)],
    view: "r5 config@4 clinic@3",
    lastEffects: IGNORED,
  },
  {
    name: "A bookmark",
    events: [START, bookmark(8)],
    view: "r8 config@4 clinic@3",
    lastEffects: CONFIRMED,
  },
  {
    name: "An older bookmark",
    events: [START, bookmark(4)],
    view: "r5 config@4 clinic@3",
    lastEffects: IGNORED,
  },
  {
    name: "An older list",
    events: [START, put(6), listed(5)],
    view: "r6 config@4 clinic@6",
    lastEffects: IGNORED,
  },
  {
    name: "A newer list without some of the objects",
    events: [START, listed(9, createObject(8, STOP))],
    view: "r9 engine@8",
    lastEffects: CHANGED,
  },
  {
    name: "A kind outside the view",
    events: [START, put(6, { kind: "duty" })],
    view: "r6 config@4 clinic@3",
    lastEffects: CONFIRMED,
  },
  {
    name: "A change to an invalid value",
    events: [START, put(6, BAD)],
    view: "r6 config@4 clinic@3",
    lastEffects: REFUSED,
  },
  {
    name: "An invalid config",
    events: [START, put(6, { ...CONFIG, ...BAD })],
    view: "r6 config@4 clinic@3",
    lastEffects: REFUSED,
  },
  {
    name: "An invalid config under another name",
    events: [START, put(6, { ...CONFIG, ...BAD, name: "x" })],
    view: "r6 config@4 clinic@3",
    lastEffects: REFUSED,
  },
  {
    name: "An invalid object in a list",
    events: [START, listed(7, createObject(6, BAD))],
    view: "r7 clinic@3",
    lastEffects: REFUSED,
  },
  {
    name: "An invalid new object",
    events: [START, put(6, { ...STOP, ...BAD })],
    view: "r6 config@4 clinic@3",
    lastEffects: REFUSED,
  },
  {
    name: "An invalid object under a new uid",
    events: [START, put(6, { ...BAD, uid: "uid-9" })],
    view: "r6 config@4",
    lastEffects: REFUSED,
  },
  {
    name: "An invalid object under a new uid, in a list",
    events: [START, listed(7, createObject(6, { ...BAD, uid: "uid-9" }))],
    view: "r7",
    lastEffects: REFUSED,
  },
  {
    name: "A valid change after an invalid one",
    events: [START, put(6, BAD), put(7)],
    view: "r7 config@4 clinic@7",
    lastEffects: CHANGED,
  },
  {
    name: "An outage",
    events: [START, { type: "unreachable", error: new Error("Down") }],
    view: "r5 config@4 clinic@3",
    lastEffects: ["platformUnreachable"],
  },
];

for (const { name, events, view, lastEffects } of CASES) {
  test(`${name} results in the view ${view}`, () => {
    const folded = fold(events);
    assert.equal(describeView(folded.view), view);
    assert.deepEqual(folded.lastEffects.map(({ type }) => type), lastEffects);
  });
}

test("The view has parsed values, and the new uid of a recreated object", () => {
  const { view } = fold([START, remove(6), put(7, { uid: "uid-9" })]);
  const contract = view?.contracts.get("clinic");
  assert.equal(contract?.uid, "uid-9");
  assert.equal(contract?.value as unknown, "parsed good");
});

test("Events do not modify a view returned earlier", () => {
  const { view: before } = fold([START]);
  const described = describeView(before);
  const state = { ...createViewState(parseObject), view: before };
  stepView(state, put(6, STOP));
  stepView(state, remove(6));
  assert.equal(describeView(before), described);
});

test("The view's revision never decreases, in whatever order events arrive", () => {
  const event = fc.tuple(fc.nat(2), fc.nat(30)).map(([type, revision]) =>
    [listed(revision), put(revision), bookmark(revision)][type] as WatchEvent
  );
  fc.assert(
    fc.property(fc.array(event, { maxLength: 40 }), (events) => {
      let state = createViewState(parseObject);
      for (const event of events) {
        const before = state.view?.revision ?? 0;
        state = stepView(state, event).state;
        assert.ok((state.view?.revision ?? 0) >= before);
      }
    }),
    { seed: 5, numRuns: 1000 },
  );
});

test("The names of invalid operators are known until they are valid or deleted", () => {
  const operator = { kind: "operator", name: "asha" } as const;
  const bad = { ...operator, value: "bad" };
  const listNames = (...events: readonly WatchEvent[]) => [
    ...fold(events).view?.invalidOperators ?? [],
  ];
  const invalid = listed(1, createObject(1, bad));
  assert.deepEqual(listNames(invalid), ["asha"]);
  assert.deepEqual(listNames(listed(1), put(2, bad)), ["asha"]);
  assert.deepEqual(listNames(invalid, put(2, operator)), []);
  assert.deepEqual(listNames(invalid, remove(2, operator)), []);
  assert.deepEqual(listNames(invalid, listed(2)), []);
  // The last valid value stays in force.
  const valid = listed(1, createObject(1, operator));
  assert.deepEqual(listNames(valid, put(2, bad)), []);
  assert.deepEqual(listNames(listed(1, createObject(1, { value: "bad" }))), []);
});
