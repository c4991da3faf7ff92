import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { computeReservedShare, computeUsableShare, NO_SHARE } from "./mod.ts";

function createLimits(concurrentRequests = 7) {
  return { requestsPerSecond: 12, concurrentRequests, tokensPerMinute: 600 };
}

test("Reserved shares add up to the limits for any number of entries", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 40 }),
      fc.integer({ min: 0, max: 200 }),
      fc.string(),
      (entryCount, concurrent, organisation) => {
        const entries = Array.from({ length: entryCount }, (_, i) => `e${i}`);
        const shares = entries.map((entry) =>
          computeReservedShare(createLimits(concurrent), {
            organisation,
            entry,
            entries,
          })
        );
        const concurrentSum = shares.reduce(
          (sum, s) => sum + s.concurrentRequests,
          0,
        );
        const rate = shares.reduce((sum, s) => sum + s.requestsPerSecond, 0);
        assert.equal(concurrentSum, concurrent);
        assert.ok(Math.abs(rate - 12) < 1e-9);
      },
    ),
    { seed: 5, numRuns: 200 },
  );
});

test("An entry that isn't listed has nothing reserved", () => {
  const options = { organisation: "o", entry: "x", entries: ["a", "b"] };
  assert.deepEqual(computeReservedShare(createLimits(), options), NO_SHARE);
});

test("Loans count until they expire", () => {
  const one = {
    requestsPerSecond: 1,
    concurrentRequests: 1,
    tokensPerMinute: 1,
  };
  const holding = {
    reserved: createLimits(),
    lent: [{ share: one, untilMs: 100 }],
    borrowed: [{ share: createLimits(), untilMs: 50 }],
  };
  const concurrent = [49, 50, 99, 100].map((nowMs) =>
    computeUsableShare(holding, nowMs).concurrentRequests
  );
  assert.deepEqual(concurrent, [13, 6, 6, 7]);
});
