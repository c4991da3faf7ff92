import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { decodeCounts, encodeCounts, sumEncodedCounts } from "./mod.ts";

const COUNTS = fc.array(fc.maxSafeNat(), { maxLength: 40 });

test("Decoding an encoded list of counts returns the same counts", () => {
  fc.assert(
    fc.property(COUNTS, (counts) => {
      assert.deepEqual(decodeCounts(encodeCounts(counts)), counts);
    }),
  );
});

test("Counts of several ranks are summed per expert", () => {
  const encoded = [[1, 200, 0], [2, 100, 7]].map(encodeCounts);
  assert.deepEqual(sumEncodedCounts(encoded), [3, 300, 7]);
  assert.equal(sumEncodedCounts([]), undefined);
});
