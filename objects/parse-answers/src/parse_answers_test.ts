import assert from "node:assert/strict";
import { test } from "node:test";
import {
  MALFORMED_ANSWER_CODE,
  parseConflict,
  parseDeleted,
  parseObjectList,
  parseStoredObject,
  parseVmList,
  parseWatchLine,
} from "./mod.ts";

const OBJECT = {
  kind: "stop",
  name: "engine-1",
  uid: "uid-1",
  revision: 4,
  changeId: "change",
  value: { reason: "repair" },
};
const VM = { name: "vm", address: "10.0.0.1", dataCentre: "a", state: "live" };
const DELETION = { type: "delete", ...OBJECT, changeId: undefined };

type Parse = (text: string) => unknown;

const VALID_ANSWERS: readonly (readonly [Parse, unknown, unknown])[] = [
  [parseStoredObject, { ...OBJECT, newField: 1 }, OBJECT],
  [parseConflict, { current: OBJECT }, OBJECT],
  [parseConflict, { current: null }, undefined],
  [parseDeleted, { revision: 5 }, 5],
  [parseVmList, { vms: [VM] }, [VM]],
  [
    parseObjectList,
    { items: [OBJECT, { ...OBJECT, kind: "fromTheFuture" }], revision: 4 },
    { items: [OBJECT], revision: 4 },
  ],
  [
    parseWatchLine,
    { type: "put", object: OBJECT },
    { type: "change", change: { type: "put", object: OBJECT } },
  ],
  [
    parseWatchLine,
    { type: "put", object: { ...OBJECT, kind: "constructor" } },
    { type: "bookmark", revision: 4 },
  ],
  [
    parseWatchLine,
    { type: "bookmark", revision: 9 },
    { type: "bookmark", revision: 9 },
  ],
];

// Guards against an object that makes every list of objects fail, as functions
// that walk its value overflow the stack.
test("A value that is nested too deeply is dropped, and other objects stay", () => {
  const nest = (depth: number) => `${"[".repeat(depth)}${"]".repeat(depth)}`;
  const render = (value: string) =>
    JSON.stringify({ ...OBJECT, value: 0 }).replace(
      '"value":0',
      `"value":${value}`,
    );
  const texts = [nest(64), nest(66), nest(100_000), `{"a":${nest(100_000)}}`];
  const items = [JSON.stringify(OBJECT), ...texts.map(render)].join(",");
  const list = parseObjectList(`{"items":[${items}],"revision":4}`);
  assert.deepEqual(list.items[0], OBJECT);
  assert.deepEqual(
    list.items.map(({ value }) => value === null),
    [false, false, true, true, true],
  );
  assert.ok(JSON.stringify(list).length > 0);
  const line = parseWatchLine(`{"type":"put","object":${render(texts[2]!)}}`);
  assert.ok(line.type === "change" && line.change.type === "put");
  assert.equal(line.change.object.value, null);
});

test("Valid answers are parsed into their types", () => {
  for (const [parse, answer, expected] of VALID_ANSWERS) {
    assert.deepEqual(parse(JSON.stringify(answer)), expected, parse.name);
  }
  const deletion = parseWatchLine(JSON.stringify(DELETION));
  assert.equal(deletion.type, "change");
});

const MALFORMED_ANSWERS: readonly (readonly [Parse, unknown])[] = [
  [parseStoredObject, null],
  [parseStoredObject, { ...OBJECT, revision: "4" }],
  [parseStoredObject, { ...OBJECT, revision: -1 }],
  [parseStoredObject, { ...OBJECT, revision: 1.5 }],
  [parseStoredObject, { ...OBJECT, uid: undefined }],
  [parseConflict, {}],
  [parseDeleted, {}],
  [parseVmList, { vms: [{ ...VM, state: "gone" }] }],
  [parseVmList, [VM]],
  [parseObjectList, { items: [null], revision: 1 }],
  [parseObjectList, { items: [] }],
  [parseWatchLine, { type: "else", revision: 1 }],
  [parseWatchLine, { type: "put" }],
];

test("Malformed answers are rejected with one error code", () => {
  for (const [parse, answer] of MALFORMED_ANSWERS) {
    const text = JSON.stringify(answer);
    assert.throws(() => parse(text), { code: MALFORMED_ANSWER_CODE }, text);
  }
  assert.throws(() => parseDeleted('{"revision":'), {
    code: MALFORMED_ANSWER_CODE,
  });
});
