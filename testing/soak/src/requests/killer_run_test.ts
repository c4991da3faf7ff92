import assert from "node:assert/strict";
import { test } from "node:test";
import { measureKiller } from "./killer_run.ts";

const SEEDS = Array.from({ length: 25 }, (_, at) => at + 1);

test("A request that kills its targets costs two, and no innocent is quarantined", () => {
  for (const seed of SEEDS) {
    const figures = measureKiller({ seed, resends: 8, calls: 150 });
    assert.deepEqual(figures.violations, [], `seed ${seed}`);
    assert.equal(figures.targetsLost, 2, `seed ${seed}`);
    assert.equal(figures.killerQuarantined, true, `seed ${seed}`);
    assert.equal(figures.innocentsQuarantined, 0, `seed ${seed}`);
    assert.equal(figures.lastOutcome, "notRun", `seed ${seed}`);
  }
});
