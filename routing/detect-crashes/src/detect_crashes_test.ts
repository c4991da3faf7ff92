import assert from "node:assert/strict";
import { test } from "node:test";
import { createCrashState, recordLostAnswer, recordTargetDown } from "./mod.ts";

test("Returns the requests of a crashed target once", () => {
  const state = createCrashState();
  recordLostAnswer(state, { target: "a", fingerprint: "f", nowMs: 0 });
  recordLostAnswer(state, { target: "a", fingerprint: "f", nowMs: 1 });
  recordLostAnswer(state, { target: "a", fingerprint: "g", nowMs: 2 });
  recordLostAnswer(state, { target: "b", fingerprint: "h", nowMs: 2 });
  const down = { target: "a", nowMs: 100 };
  assert.deepEqual(recordTargetDown(state, down), {
    isNew: true,
    fingerprints: ["f", "g"],
  });
  assert.deepEqual(recordTargetDown(state, down), {
    isNew: false,
    fingerprints: [],
  });
});

test("Returns a request whose answer is lost after its target went down", () => {
  const state = createCrashState();
  recordTargetDown(state, { target: "a", nowMs: 0 });
  const lost = { target: "a", fingerprint: "f" };
  assert.deepEqual(recordLostAnswer(state, { ...lost, nowMs: 10 }), ["f"]);
  assert.deepEqual(recordLostAnswer(state, { ...lost, nowMs: 5_000 }), []);
});

test("Ignores an answer that was lost long before its target went down", () => {
  const state = createCrashState();
  recordLostAnswer(state, { target: "a", fingerprint: "f", nowMs: 0 });
  const down = recordTargetDown(state, { target: "a", nowMs: 5_000 });
  assert.deepEqual(down.fingerprints, []);
});

test("Limits the lost answers stored per target", () => {
  const state = createCrashState();
  for (let index = 0; index < 1_000; index++) {
    recordLostAnswer(state, { target: "a", fingerprint: `${index}`, nowMs: 0 });
  }
  const { fingerprints } = recordTargetDown(state, { target: "a", nowMs: 1 });
  assert.equal(fingerprints.length, 64);
  assert.equal(fingerprints.at(-1), "999");
});
