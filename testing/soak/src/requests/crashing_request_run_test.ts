import assert from "node:assert/strict";
import { test } from "node:test";
import { measureCrashingRequest } from "./crashing_request_run.ts";

const SEEDS = Array.from({ length: 25 }, (_, index) => index + 1);

test("A request that crashes its targets is quarantined after two losses, and no other is", () => {
  for (const seed of SEEDS) {
    const figures = measureCrashingRequest({
      seed,
      submissions: 8,
      calls: 150,
    });
    assert.deepEqual(figures.violations, [], `seed ${seed}`);
    assert.equal(figures.targetsLost, 2, `seed ${seed}`);
    assert.equal(figures.isCrashingRequestQuarantined, true, `seed ${seed}`);
    assert.equal(figures.harmlessRequestsQuarantined, 0, `seed ${seed}`);
    assert.equal(figures.lastOutcome, "notRun", `seed ${seed}`);
  }
});
