import assert from "node:assert/strict";
import { test } from "node:test";
import { runSiteSoak } from "./mod.ts";

test("Entries keep what they promise under faults of every kind", async () => {
  const summary = await runSiteSoak({ durationMs: 8_000, seed: 1 });
  assert.deepEqual(summary.violations, []);
  // A soak in which little is served shows little.
  assert.ok(summary.served > 200, JSON.stringify(summary));
  assert.ok(Object.keys(summary.faults).length >= 6);
});
