import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createProgressTracker,
  hasProgressElsewhere,
  recordProgress,
  retainTargets,
} from "./mod.ts";

test("A group that stalls as a whole shows no progress elsewhere", () => {
  const progress = createProgressTracker();
  for (const target of ["a", "b", "c"]) {
    recordProgress(progress, { service: "s", target, nowMs: 1_000 });
  }
  const silent = { service: "s", target: "a" };
  assert.ok(hasProgressElsewhere(progress, { ...silent, sinceMs: 900 }));
  assert.ok(!hasProgressElsewhere(progress, { ...silent, sinceMs: 1_100 }));
});

test("A target's own progress and other services do not count", () => {
  const progress = createProgressTracker();
  recordProgress(progress, { service: "s", target: "a", nowMs: 1_000 });
  recordProgress(progress, { service: "t", target: "b", nowMs: 1_000 });
  const silent = { service: "s", target: "a", sinceMs: 0 };
  assert.ok(!hasProgressElsewhere(progress, silent));
});

test("Targets that are gone are forgotten", () => {
  const progress = createProgressTracker();
  recordProgress(progress, { service: "s", target: "b", nowMs: 1_000 });
  retainTargets(progress, new Set(["a"]));
  const silent = { service: "s", target: "a", sinceMs: 0 };
  assert.ok(!hasProgressElsewhere(progress, silent));
});
