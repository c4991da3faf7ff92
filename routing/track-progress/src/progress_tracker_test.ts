import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createProgressTracker,
  hasProgressElsewhere,
  recordProgress,
  retainTargets,
} from "./mod.ts";

test("A group that stalls as a whole has no progress elsewhere", () => {
  const progress = createProgressTracker();
  for (const target of ["a", "b", "c"]) {
    recordProgress(progress, { service: "s", target, nowMs: 1_000 });
  }
  const stalled = { service: "s", target: "a" };
  assert.ok(hasProgressElsewhere(progress, { ...stalled, sinceMs: 900 }));
  assert.ok(!hasProgressElsewhere(progress, { ...stalled, sinceMs: 1_100 }));
});

test("The target's own progress and that of other services don't count", () => {
  const progress = createProgressTracker();
  recordProgress(progress, { service: "s", target: "a", nowMs: 1_000 });
  recordProgress(progress, { service: "t", target: "b", nowMs: 1_000 });
  const stalled = { service: "s", target: "a", sinceMs: 0 };
  assert.ok(!hasProgressElsewhere(progress, stalled));
});

test("Targets that are not retained are removed", () => {
  const progress = createProgressTracker();
  recordProgress(progress, { service: "s", target: "b", nowMs: 1_000 });
  retainTargets(progress, new Set(["a"]));
  const stalled = { service: "s", target: "a", sinceMs: 0 };
  assert.ok(!hasProgressElsewhere(progress, stalled));
});
