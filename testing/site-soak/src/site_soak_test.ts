import assert from "node:assert/strict";
import { test } from "node:test";
import { runSiteSoak } from "./mod.ts";

test("Entries keep their guarantees under faults of every kind", async () => {
  const summary = await runSiteSoak({ durationMs: 8_000, seed: 1 });
  assert.deepEqual(summary.violations, []);
  // Guards against a run that passes because hardly any request was served.
  assert.ok(summary.served > 200, JSON.stringify(summary));
  assert.ok(summary.announcements.leaving > 0, JSON.stringify(summary));
  assert.ok(summary.announcements.refusing > 0, JSON.stringify(summary));
  assert.ok(Object.keys(summary.faults).length >= 6);
});
