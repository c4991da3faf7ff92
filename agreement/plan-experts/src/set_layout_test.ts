import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { SetLayout } from "./set_layout.ts";

const RANKS = 8;
const EXPERTS = 24;

test("After each move the costs match the experts held, and never increase", () => {
  const demands = fc.array(fc.integer({ min: 0, max: 1_000 }), {
    minLength: EXPERTS,
    maxLength: EXPERTS,
  });
  const paces = fc.array(fc.constantFrom(1, 1, 1, 4), {
    minLength: RANKS,
    maxLength: RANKS,
  });
  fc.assert(
    fc.property(demands, paces, fc.nat(4), (demand, pace, maxNewPerRank) => {
      const held = Array.from(
        { length: RANKS },
        (_, rank) => [rank, rank + RANKS, rank + 2 * RANKS],
      );
      const limits = { maxExpertsPerRank: 4, maxNewPerRank };
      const layout = SetLayout.create({ demand, held, limits, paces: pace });
      for (let move = layout.findBestMove(() => true); move !== undefined;) {
        const before = layout.maxCost;
        layout.applyMove(move);
        const costs = computeCosts(layout.held, { demand, pace });
        assert.ok(Math.abs(Math.max(...costs) - layout.maxCost) < 1e-6);
        assert.ok(layout.maxCost <= before + 1e-6);
        move = layout.findBestMove(() => true);
      }
      layout.held.forEach((experts, rank) => {
        const added = experts.filter((expert) => !held[rank]!.includes(expert));
        assert.equal(layout.countAdded(rank), added.length);
        assert.ok(added.length <= maxNewPerRank);
        assert.ok(experts.length <= limits.maxExpertsPerRank);
      });
      assert.equal(new Set(layout.held.flat()).size, EXPERTS);
    }),
  );
});

function computeCosts(
  held: readonly (readonly number[])[],
  { demand, pace }: {
    readonly demand: readonly number[];
    readonly pace: readonly number[];
  },
): readonly number[] {
  const holders = demand.map((_, expert) =>
    held.filter((experts) => experts.includes(expert)).length
  );
  return held.map((experts, rank) =>
    experts.reduce(
      (sum, expert) => sum + demand[expert]! / holders[expert]!,
      0,
    ) * pace[rank]!
  );
}
