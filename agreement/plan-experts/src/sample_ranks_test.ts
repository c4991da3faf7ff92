import assert from "node:assert/strict";
import { test } from "node:test";
import { isSampled } from "./mod.ts";

test("A sample is the whole of a small group, and a part of a large one", () => {
  for (const [groupSize, sampled] of [[1, 1], [16, 16], [17, 9], [72, 15]]) {
    const ranks = Array.from({ length: groupSize! }, (_, rank) => rank);
    const chosen = ranks.filter((rank) => isSampled(rank, groupSize!));
    assert.equal(chosen.length, sampled);
  }
  assert.ok(!isSampled(1, 0));
});
