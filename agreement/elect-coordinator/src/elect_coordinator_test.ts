import assert from "node:assert/strict";
import { test } from "node:test";
import {
  adoptNewerTerm,
  claimLeadershipOnTimeout,
  computePollIntervalMs,
  createLeadershipState,
  followCoordinator,
  joinGroup,
  restartElectionTimeout,
} from "./mod.ts";

test("The lowest rank takes over first, and each coordinator uses a higher term", () => {
  const first = createLeadershipState({ name: "r0", nowMs: 0 });
  const second = createLeadershipState({ name: "r1", nowMs: 0 });
  const at = { nowMs: 900, wallMs: 5_000 };
  assert.ok(claimLeadershipOnTimeout(first, { rank: 0, groupSize: 16, ...at }));
  assert.ok(
    !claimLeadershipOnTimeout(second, { rank: 1, groupSize: 16, ...at }),
  );
  const leadership = first.latest;
  assert.ok(followCoordinator(second, { leadership, nowMs: 1_000 }));
  assert.ok(
    claimLeadershipOnTimeout(second, {
      rank: 1,
      groupSize: 16,
      nowMs: 3_000,
      wallMs: 5_000,
    }),
  );
  assert.ok(second.latest.term > first.latest.term);
});

test("Calls of an older term are rejected, and its coordinator steps down", () => {
  const state = createLeadershipState({ name: "r0", nowMs: 0 });
  assert.ok(
    claimLeadershipOnTimeout(state, {
      rank: 0,
      groupSize: 16,
      nowMs: 2_000,
      wallMs: 0,
    }),
  );
  const own = state.latest;
  const newer = { ...own, term: own.term + 1, coordinator: "r1", rank: 1 };
  assert.ok(followCoordinator(state, { leadership: newer, nowMs: 2_100 }));
  assert.ok(!state.isLeading);
  assert.ok(!followCoordinator(state, { leadership: own, nowMs: 2_200 }));
});

test("An agent whose rank joins another group forgets the leadership of the former", () => {
  const state = createLeadershipState({ name: "r1", nowMs: 0 });
  joinGroup(state, { group: "g0", nowMs: 0 });
  const former = { group: "g0", term: 9_000, coordinator: "r0", rank: 0 };
  assert.ok(followCoordinator(state, { leadership: former, nowMs: 100 }));
  assert.ok(joinGroup(state, { group: "g1", nowMs: 200 }));
  const leadership = { group: "g1", term: 50, coordinator: "r5", rank: 1 };
  assert.ok(followCoordinator(state, { leadership, nowMs: 300 }));
  assert.ok(!joinGroup(state, { group: "g1", nowMs: 400 }));
  assert.equal(state.latest.term, 50);
});

test("A coordinator steps down when it learns of a newer term", () => {
  const state = createLeadershipState({ name: "r0", nowMs: 0 });
  claimLeadershipOnTimeout(state, {
    rank: 0,
    groupSize: 16,
    nowMs: 2_000,
    wallMs: 0,
  });
  adoptNewerTerm(state, state.latest.term + 5);
  assert.ok(!state.isLeading);
});

test("Agents that know no term choose different ones", () => {
  const terms = [0, 1, 5].map((rank) => {
    const state = createLeadershipState({ name: `r${rank}`, nowMs: 0 });
    claimLeadershipOnTimeout(state, {
      rank,
      groupSize: 16,
      nowMs: 60_000,
      wallMs: 1_700_000_000_000,
    });
    return state.latest.term;
  });
  assert.equal(new Set(terms).size, terms.length);
});

test("Agents whose engines start late still take over in order of rank", () => {
  const states = [0, 1, 2].map((rank) => ({
    rank,
    state: createLeadershipState({ name: `r${rank}`, nowMs: 0 }),
  }));
  for (const { state } of states) restartElectionTimeout(state, 3_000);
  const claimed = states.map(({ rank, state }) =>
    claimLeadershipOnTimeout(state, {
      rank,
      groupSize: 16,
      nowMs: 3_900,
      wallMs: 0,
    })
  );
  assert.deepEqual(claimed, [true, false, false]);
});

test("A large group is polled less often and has a longer election timeout", () => {
  const state = createLeadershipState({ name: "r0", nowMs: 0 });
  const at = { rank: 0, groupSize: 288, wallMs: 0 };
  assert.ok(!claimLeadershipOnTimeout(state, { ...at, nowMs: 2_000 }));
  assert.ok(claimLeadershipOnTimeout(state, { ...at, nowMs: 3_000 }));
  assert.ok(computePollIntervalMs(288) > computePollIntervalMs(16));
});
