import { EMPTY_PROMPT_REPORT } from "@dandelionbank/quarantine-prompts";
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

test("An entry without a recent status is not live", () => {
  const state = createEntryTracker({ livenessTimeoutMs: 1_000 });
  recordEntryStatus(state, { status: createStatus({ name: "a" }), nowMs: 0 });
  recordEntryStatus(state, { status: createStatus({ name: "b" }), nowMs: 900 });
  const names = listLiveEntries(state, 1_100).map(({ name }) => name);
  assert.deepEqual(names, ["b"]);
});

test("Only accepting entries are listed, and only near ones if there are two", () => {
  const entries = [
    createStatus({ name: "a", dataCentre: "near" }),
    createStatus({ name: "b", dataCentre: "near" }),
    createStatus({ name: "c", dataCentre: "far" }),
    createStatus({ name: "d", dataCentre: "near", takesCallers: false }),
  ];
  const options = { dataCentre: "near", maxCount: 64 };
  assert.deepEqual(listCallerAddresses(entries, options), ["a:1", "b:1"]);
  assert.deepEqual(listCallerAddresses(entries.slice(1), options), [
    "b:1",
    "c:1",
  ]);
});

test("The active requests of entries at a service are summed", () => {
  const entries = [
    createStatus({ name: "a", activeByService: { s: 3 } }),
    createStatus({ name: "b", activeByService: { s: 4, t: 9 } }),
  ];
  assert.equal(sumActiveRequests(entries, "s"), 7);
});

test("Entries that may not use API keys are listed only if no other entry may", () => {
  const withoutKeys = [
    createStatus({ name: "a", mayUseKeys: false }),
    createStatus({ name: "b", mayUseKeys: false }),
  ];
  const options = { dataCentre: "near", maxCount: 9 };
  assert.deepEqual(listCallerAddresses(withoutKeys, options), ["a:1", "b:1"]);
  const far = createStatus({ name: "c", dataCentre: "far" });
  assert.deepEqual(listCallerAddresses([...withoutKeys, far], options), [
    "c:1",
  ]);
});

function createStatus(
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
    prompts: EMPTY_PROMPT_REPORT,
    downTargets: [],
    targetLimits: [],
    leavingTargets: [],
    ...fields,
  };
}
