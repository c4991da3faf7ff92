import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { planRelays, type RelayCandidate } from "./mod.ts";

test("A small group needs no relays", () => {
  const plan = planRelays(createRanks(16));
  assert.equal(plan.direct.length, 16);
  assert.equal(plan.relayed.length, 0);
});

test("72 ranks in three data centres are called through nine relays", () => {
  const plan = planRelays(createRanks(72));
  assert.equal(plan.direct.length, 0);
  assert.equal(plan.relayed.length, 9);
  for (const { relay, members } of plan.relayed) {
    assert.equal(members.length, 8);
    assert.equal(members[0], relay);
    assert.equal(new Set(members.map((link) => link % 3)).size, 1);
  }
});

test("Each rank is called once; unresponsive ones directly, and never as a relay", () => {
  const unresponsiveLinks = fc.uniqueArray(fc.nat(99));
  fc.assert(
    fc.property(
      fc.integer({ min: 0, max: 100 }),
      unresponsiveLinks,
      (count, unresponsive) => {
        const ranks = createRanks(count).map((rank) => ({
          ...rank,
          isResponsive: !unresponsive.includes(rank.link),
        }));
        const { direct, relayed } = planRelays(ranks);
        const members = relayed.flatMap((group) => group.members);
        const called = [...direct, ...members].sort((a, b) => a - b);
        assert.deepEqual(called, ranks.map(({ link }) => link));
        assert.ok(members.every((link) => !unresponsive.includes(link)));
        assert.ok(relayed.every((group) => group.members.length <= 10));
      },
    ),
  );
});

function createRanks(count: number): readonly RelayCandidate<number>[] {
  return Array.from({ length: count }, (_, link) => ({
    link,
    dataCentre: `dc-${link % 3}`,
    isResponsive: true,
  }));
}
