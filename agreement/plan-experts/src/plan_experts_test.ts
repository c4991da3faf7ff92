import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { ExpertProfile } from "@dandelionbank/types";
import { createInitialMap, planExperts } from "./mod.ts";

const PROFILE: ExpertProfile = {
  layerSets: 4,
  expertsPerSet: 64,
  maxExpertsPerRank: 5,
  maxNewPerChange: 2,
  expertMb: 2_500,
  workShare: 0.85,
  linkMbps: 180_000,
};
const RANKS = 16;

test("The initial map assigns experts to ranks round-robin", () => {
  const map = createInitialMap(PROFILE, RANKS);
  assert.deepEqual(map[0]![0], [0, 16, 32, 48]);
  assert.deepEqual(map[3]![15], [15, 31, 47, 63]);
});

test("An expert in high demand is copied to several ranks within the limits", () => {
  const plan = planWith(createDemand({ hot: [5], weight: 40 }));
  assert.ok(plan.skewBefore > 4, String(plan.skewBefore));
  assert.ok(plan.skewAfter < 1.6, String(plan.skewAfter));
});

test("Even demand causes no copies", () => {
  const plan = planWith(createDemand({ hot: [], weight: 1 }));
  assert.equal(plan.copies, 0);
});

test("Copies to one rank stay within the limit over all sets", () => {
  const demand = createDemand({ hot: [1, 2, 3, 17], weight: 20 });
  const plan = planWith(demand, { maxCopiesPerRank: 3 });
  assert.ok(plan.maxCopiesOnRank <= 3, String(plan.maxCopiesOnRank));
});

test("Any plan keeps every expert and respects the limits of each rank", () => {
  const demandOf = fc.array(fc.double({ min: 0, max: 100, noNaN: true }), {
    minLength: PROFILE.expertsPerSet,
    maxLength: PROFILE.expertsPerSet,
  });
  fc.assert(
    fc.property(
      fc.array(demandOf, { minLength: 4, maxLength: 4 }),
      (demand) => {
        const first = createInitialMap(PROFILE, RANKS);
        const plan = planWith(demand);
        assert.ok(plan.skewAfter <= plan.skewBefore + 1e-9);
        plan.map.forEach((ranks, set) => {
          assert.equal(new Set(ranks.flat()).size, PROFILE.expertsPerSet);
          ranks.forEach((experts, rank) => {
            assert.equal(new Set(experts).size, experts.length);
            assert.ok(experts.length <= PROFILE.maxExpertsPerRank);
            const before = new Set(first[set]![rank]);
            const added = experts.filter((expert) => !before.has(expert));
            assert.ok(added.length <= PROFILE.maxNewPerChange);
          });
        });
      },
    ),
    { numRuns: 20 },
  );
});

function createDemand(
  { hot, weight }: {
    readonly hot: readonly number[];
    readonly weight: number;
  },
): readonly (readonly number[])[] {
  const set = Array.from(
    { length: PROFILE.expertsPerSet },
    (_, expert) => hot.includes(expert) ? weight : 1,
  );
  return Array.from({ length: PROFILE.layerSets }, () => set);
}

function planWith(
  demand: readonly (readonly number[])[],
  { maxCopiesPerRank = 8 }: { readonly maxCopiesPerRank?: number } = {},
) {
  return planExperts({
    profile: PROFILE,
    map: createInitialMap(PROFILE, RANKS),
    demand,
    paces: Array.from({ length: RANKS }, () => 1),
    maxCopiesPerRank,
    targetSkew: 1.06,
  });
}
