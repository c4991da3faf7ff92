import assert from "node:assert/strict";
import { test } from "node:test";
import { atLeast, atMost, BENCHES, unbounded } from "./mod.ts";
import { measureEntryKill } from "@dandelionbank/soak";
import { measureTakeover } from "./ledger/takeover.ts";

test("A figure reports whether its bound holds", () => {
  const measured = { name: "delayMs", value: 2, unit: "ms" };
  assert.equal(atMost(measured, 2).holds, true);
  assert.equal(atMost(measured, 1).holds, false);
  assert.equal(atLeast(measured, 2).holds, true);
  assert.equal(atLeast(measured, 3).holds, false);
  assert.equal(unbounded(measured).holds, undefined);
});

test("The names of the benches are unique", () => {
  const names = BENCHES.map(({ name }) => name);
  assert.equal(new Set(names).size, names.length);
});

test("A takeover with 100 agents finds every key and is repeatable for a seed", () => {
  const options = { seed: 1, agents: 100, maxConcurrentAsks: 16 };
  const figures = measureTakeover(options);
  assert.equal(figures.heldKeys, 2_000);
  assert.equal(figures.messages, 200);
  assert.deepEqual(measureTakeover(options), figures);
});

test("Requests sent to the other entries are answered when one entry is lost", () => {
  const figures = measureEntryKill({ seed: 1, calls: 300 });
  assert.deepEqual(figures.violations, []);
  assert.ok(figures.submissionsElsewhere > 100);
  assert.ok(figures.answeredElsewherePercent >= 99.9);
});
