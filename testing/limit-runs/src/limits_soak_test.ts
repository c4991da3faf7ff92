import assert from "node:assert/strict";
import { test } from "node:test";
import { runLimits } from "./mod.ts";

const RUNS = 60;

test("No randomised run uses more than the limits, and all end usable", () => {
  let loans = 0;
  for (let seed = 1; seed <= RUNS; seed++) {
    const report = runLimits(seed);
    assert.deepEqual(report.violations, [], `seed ${seed}`);
    loans += report.invariants["loansWithinLimits"] ?? 0;
  }
  assert.ok(loans > 1_000);
});

test("The same seed gives the same report", () => {
  assert.deepEqual(runLimits(3), runLimits(3));
});
