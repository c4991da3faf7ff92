import assert from "node:assert/strict";
import { test } from "node:test";
import { createCrashState, recordLostAnswer, recordTargetDown } from "./mod.ts";

test("What was under way at a target that goes down is told once", () => {
  const state = createCrashState();
  recordLostAnswer(state, { target: "a", fingerprint: "f", nowMs: 0 });
  recordLostAnswer(state, { target: "a", fingerprint: "f", nowMs: 1 });
  recordLostAnswer(state, { target: "a", fingerprint: "g", nowMs: 2 });
  recordLostAnswer(state, { target: "b", fingerprint: "h", nowMs: 2 });
  const down = { target: "a", nowMs: 100 };
  assert.deepEqual(recordTargetDown(state, down), ["f", "g"]);
  assert.deepEqual(recordTargetDown(state, down), []);
});

test("A target may be seen to be down before its answers are lost", () => {
  const state = createCrashState();
  recordTargetDown(state, { target: "a", nowMs: 0 });
  const lost = { target: "a", fingerprint: "f" };
  assert.deepEqual(recordLostAnswer(state, { ...lost, nowMs: 10 }), ["f"]);
  assert.deepEqual(recordLostAnswer(state, { ...lost, nowMs: 5_000 }), []);
});

test("An answer lost long before its target goes down was no crash", () => {
  const state = createCrashState();
  recordLostAnswer(state, { target: "a", fingerprint: "f", nowMs: 0 });
  assert.deepEqual(recordTargetDown(state, { target: "a", nowMs: 5_000 }), []);
});

test("What is remembered of one target is bounded", () => {
  const state = createCrashState();
  for (let index = 0; index < 1_000; index++) {
    recordLostAnswer(state, { target: "a", fingerprint: `${index}`, nowMs: 0 });
  }
  const told = recordTargetDown(state, { target: "a", nowMs: 1 });
  assert.equal(told.length, 64);
  assert.equal(told.at(-1), "999");
});
