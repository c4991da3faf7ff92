import assert from "node:assert/strict";
import { test } from "node:test";
import { computeCallerPatienceMs } from "./mod.ts";

test("Caller patience is the longest of the fixed time and both multiples", () => {
  const cases = [
    { objectiveMs: 100, eventGapMs: 120, patienceMs: 2_000 },
    { objectiveMs: 700, eventGapMs: 120, patienceMs: 2_800 },
    { objectiveMs: 100, eventGapMs: 400, patienceMs: 3_200 },
    { objectiveMs: 100, eventGapMs: undefined, patienceMs: 2_000 },
  ];
  for (const { patienceMs, ...route } of cases) {
    assert.equal(computeCallerPatienceMs(route), patienceMs);
  }
});
