import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createEntryTracker,
  type EntryStatus,
  listCallerAddresses,
  listLiveEntries,
  recordEntryStatus,
  sumActiveRequests,
} from "./mod.ts";

test("An entry that is silent for too long is live no more", () => {
  const state = createEntryTracker({ livenessTimeoutMs: 1_000 });
  recordEntryStatus(state, { status: create({ name: "a" }), nowMs: 0 });
  recordEntryStatus(state, { status: create({ name: "b" }), nowMs: 900 });
  const names = listLiveEntries(state, 1_100).map(({ name }) => name);
  assert.deepEqual(names, ["b"]);
});

test("Callers are sent to entries that take them, the near ones alone if two", () => {
  const entries = [
    create({ name: "a", dataCentre: "near" }),
    create({ name: "b", dataCentre: "near" }),
    create({ name: "c", dataCentre: "far" }),
    create({ name: "d", dataCentre: "near", takesCallers: false }),
  ];
  const options = { dataCentre: "near", maxCount: 64 };
  assert.deepEqual(listCallerAddresses(entries, options), ["a:1", "b:1"]);
  assert.deepEqual(listCallerAddresses(entries.slice(1), options), [
    "b:1",
    "c:1",
  ]);
});

test("What the others have at a service adds up", () => {
  const entries = [
    create({ name: "a", activeByService: { s: 3 } }),
    create({ name: "b", activeByService: { s: 4, t: 9 } }),
  ];
  assert.equal(sumActiveRequests(entries, "s"), 7);
});

test("Entries that may not use keys are named only if all are so", () => {
  const unable = [
    create({ name: "a", mayUseKeys: false }),
    create({ name: "b", mayUseKeys: false }),
  ];
  const list = { dataCentre: "near", maxCount: 9 };
  assert.deepEqual(listCallerAddresses(unable, list), ["a:1", "b:1"]);
  const far = create({ name: "c", dataCentre: "far" });
  assert.deepEqual(listCallerAddresses([...unable, far], list), ["c:1"]);
});

function create(
  fields: Partial<EntryStatus> & { readonly name: string },
): EntryStatus {
  return {
    callersAddress: `${fields.name}:1`,
    peerAddress: `${fields.name}:2`,
    dataCentre: "near",
    takesCallers: true,
    mayUseKeys: true,
    activeByService: {},
    suspects: { losses: [], quarantined: [] },
    ...fields,
  };
}
