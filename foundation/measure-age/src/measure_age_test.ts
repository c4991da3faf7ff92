import assert from "node:assert/strict";
import { test } from "node:test";
import { measureAgeMs } from "./mod.ts";

test("The clock that shows most tells the age", () => {
  const since = { monotonicMs: 1_000, wallMs: 50_000 };
  const slept = { monotonicMs: 1_100, wallMs: 58_000 };
  assert.equal(measureAgeMs(since, slept), 8_000);
  const setBack = { monotonicMs: 6_000, wallMs: 49_000 };
  assert.equal(measureAgeMs(since, setBack), 5_000);
});
