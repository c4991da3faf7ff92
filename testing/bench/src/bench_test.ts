import assert from "node:assert/strict";
import { test } from "node:test";
import { atLeast, atMost, BENCHES, unbounded } from "./mod.ts";
import { measureEntryKill } from "@dandelionbank/soak";
import { measureTakeover } from "./ledger/takeover.ts";

test("A figure says whether its bound holds", () => {
  const measured = { name: "delayMs", value: 2, unit: "ms" };
  assert.equal(atMost(measured, 2).holds, true);
  assert.equal(atMost(measured, 1).holds, false);
  assert.equal(atLeast(measured, 2).holds, true);
  assert.equal(atLeast(measured, 3).holds, false);
  assert.equal(unbounded(measured).holds, undefined);
});

test("Benches have names of their own", () => {
  const names = BENCHES.map(({ name }) => name);
  assert.equal(new Set(names).size, names.length);
});

test("A takeover of 100 agents finds every key, the same for the same seed", () => {
  const options = { seed: 1, agents: 100, maxAsks: 16 };
  const once = measureTakeover(options);
  assert.equal(once.heldKeys, 2_000);
  assert.equal(once.messages, 200);
  assert.deepEqual(measureTakeover(options), once);
});

test("The loss of one entry leaves the sendings to others answered", () => {
  const figures = measureEntryKill({ seed: 1, calls: 300 });
  assert.deepEqual(figures.violations, []);
  assert.ok(figures.submissionsElsewhere > 100);
  assert.ok(figures.answeredElsewherePercent >= 99.9);
});
