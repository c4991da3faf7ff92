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
