import assert from "node:assert/strict";
import { test } from "node:test";
import { measureAgeMs } from "./mod.ts";

test("The age is that of the clock that shows the longer time", () => {
  const since = { monotonicMs: 1_000, wallMs: 50_000 };
  const afterSuspension = { monotonicMs: 1_100, wallMs: 58_000 };
  assert.equal(measureAgeMs(since, afterSuspension), 8_000);
  const afterClockSetBack = { monotonicMs: 6_000, wallMs: 49_000 };
  assert.equal(measureAgeMs(since, afterClockSetBack), 5_000);
});
