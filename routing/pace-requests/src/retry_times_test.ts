import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryTimes } from "./mod.ts";

test("Callers of targets whose rate is not known return one by one within a second", () => {
  const times = RetryTimes.create();
  const assignedMs = Array.from(
    { length: 1_000 },
    (_, index) => index + times.spread(5_000 - index, index),
  );
  assert.ok(assignedMs.every((ms) => ms >= 5_000 && ms <= 6_010));
  const atOnce = assignedMs.filter((ms) => ms < 5_100).length;
  assert.ok(atOnce <= 110, `${atOnce} return in the first 100 ms`);
});
