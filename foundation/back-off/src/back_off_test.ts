import assert from "node:assert/strict";
import { test } from "node:test";
import { computeBackoffMs } from "./mod.ts";

test("Waits double up to the longest, and half of each is left to chance", () => {
  const options = { firstMs: 100, longestMs: 350 };
  const cases = [
    { failures: 1, random: 0, waitMs: 50 },
    { failures: 1, random: 0.999_999, waitMs: 100 },
    { failures: 2, random: 0, waitMs: 100 },
    { failures: 3, random: 0, waitMs: 175 },
    { failures: 60, random: 0, waitMs: 175 },
  ];
  for (const { failures, random, waitMs } of cases) {
    const found = computeBackoffMs(failures, { ...options, random });
    assert.equal(Math.round(found), waitMs);
  }
});
