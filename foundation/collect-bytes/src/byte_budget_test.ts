import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ByteBudget } from "./mod.ts";

test("Claims never exceed the budget, and take what they were granted", () => {
  const sizes = fc.array(fc.tuple(fc.nat(4), fc.nat(60)), { maxLength: 60 });
  fc.assert(fc.property(sizes, (resizes) => {
    const budget = ByteBudget.create(100);
    const claims = Array.from({ length: 5 }, () => budget.createClaim());
    const granted = claims.map(() => 0);
    for (const [index, sizeBytes] of resizes) {
      const before = budget.claimedBytes;
      if (claims[index]!.resize(sizeBytes)) granted[index] = sizeBytes;
      else assert.equal(budget.claimedBytes, before);
      assert.ok(budget.claimedBytes <= 100);
      assert.equal(budget.claimedBytes, granted.reduce((a, b) => a + b, 0));
    }
    for (const claim of claims) claim.release();
    assert.equal(budget.claimedBytes, 0);
  }));
});

test("A claim may shrink while the budget is full", () => {
  const budget = ByteBudget.create(10);
  const [first, second] = [budget.createClaim(), budget.createClaim()];
  assert.ok(first.resize(10));
  assert.ok(!second.resize(1));
  assert.ok(first.resize(9));
  assert.ok(second.resize(1));
});
