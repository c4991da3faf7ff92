import assert from "node:assert/strict";
import { test } from "node:test";
import { computeBackoffMs } from "./mod.ts";

test("Delays double up to the longest, and half of each is random", () => {
  const options = { firstMs: 100, longestMs: 350 };
  const cases = [
    { failures: 1, random: 0, waitMs: 50 },
    { failures: 1, random: 0.999_999, waitMs: 100 },
    { failures: 2, random: 0, waitMs: 100 },
    { failures: 3, random: 0, waitMs: 175 },
    { failures: 60, random: 0, waitMs: 175 },
  ];
  for (const { failures, random, waitMs } of cases) {
    const delayMs = computeBackoffMs(failures, { ...options, random });
    assert.equal(Math.round(delayMs), waitMs);
  }
});
