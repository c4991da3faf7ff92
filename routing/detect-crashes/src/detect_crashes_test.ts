import assert from "node:assert/strict";
import { test } from "node:test";
import { createCrashState, noteLostAnswer, noteTargetDown } from "./mod.ts";

test("What was under way at a target that goes down is told once", () => {
  const state = createCrashState();
  noteLostAnswer(state, { target: "a", fingerprint: "f", nowMs: 0 });
  noteLostAnswer(state, { target: "a", fingerprint: "f", nowMs: 1 });
  noteLostAnswer(state, { target: "a", fingerprint: "g", nowMs: 2 });
  noteLostAnswer(state, { target: "b", fingerprint: "h", nowMs: 2 });
  const down = { target: "a", nowMs: 100 };
  assert.deepEqual(noteTargetDown(state, down), ["f", "g"]);
  assert.deepEqual(noteTargetDown(state, down), []);
});

test("A target may be seen to be down before its answers are lost", () => {
  const state = createCrashState();
  noteTargetDown(state, { target: "a", nowMs: 0 });
  const lost = { target: "a", fingerprint: "f" };
  assert.deepEqual(noteLostAnswer(state, { ...lost, nowMs: 10 }), ["f"]);
  assert.deepEqual(noteLostAnswer(state, { ...lost, nowMs: 5_000 }), []);
});

test("An answer lost long before its target goes down was no crash", () => {
  const state = createCrashState();
  noteLostAnswer(state, { target: "a", fingerprint: "f", nowMs: 0 });
  assert.deepEqual(noteTargetDown(state, { target: "a", nowMs: 5_000 }), []);
});

test("What is remembered of one target is bounded", () => {
  const state = createCrashState();
  for (let index = 0; index < 1_000; index++) {
    noteLostAnswer(state, { target: "a", fingerprint: `${index}`, nowMs: 0 });
  }
  const told = noteTargetDown(state, { target: "a", nowMs: 1 });
  assert.equal(told.length, 64);
  assert.equal(told.at(-1), "999");
});
