import assert from "node:assert/strict";
import { test } from "node:test";
import { SlowdownTracker } from "./slowdown_tracker.ts";

test("The largest slowdown of a service is remembered for some seconds", () => {
  const tracker = SlowdownTracker.create();
  assert.equal(tracker.readLargest("a", 0), 0);
  tracker.record("a", 3, 0);
  tracker.record("a", 1, 4_000);
  tracker.record("b", 5, 4_000);
  assert.equal(tracker.readLargest("a", 4_999), 3);
  tracker.record("a", 2, 6_000);
  assert.equal(tracker.readLargest("a", 9_000), 3);
  tracker.record("a", 1, 11_500);
  assert.equal(tracker.readLargest("a", 12_000), 2);
  assert.equal(tracker.readLargest("a", 40_000), 0);
});
