import assert from "node:assert/strict";
import { test } from "node:test";
import type { RegisteredTarget } from "@dandelionbank/types";
import {
  createTargetTracker,
  type TargetsEvent,
  updateTargets,
} from "./mod.ts";

test("A target is removed with its registration while the store is reachable", () => {
  const state = createState(["a", "b"]);
  assert.ok(updateTargets(state, { type: "removed", id: "a" }, 100));
  assert.deepEqual([...state.targets.keys()], ["b"]);
});

test("Targets that expired in an outage are kept until they could register again", () => {
  const state = createState(["a", "b"]);
  updateTargets(state, { type: "storeLost" }, 1_000);
  updateTargets(state, { type: "storeAnswered" }, 6_000);
  updateTargets(state, { type: "listed", targets: [target("b")] }, 6_000);
  assert.ok(state.targets.has("a"));
  updateTargets(state, { type: "tick" }, 7_900);
  assert.ok(state.targets.has("a"));
  assert.ok(updateTargets(state, { type: "tick" }, 8_400));
  assert.ok(!state.targets.has("a"));
});

test("A target that has registered again is not removed later", () => {
  const state = createState(["a"]);
  updateTargets(state, { type: "storeLost" }, 1_000);
  updateTargets(state, { type: "storeAnswered" }, 6_000);
  updateTargets(state, { type: "listed", targets: [] }, 6_000);
  updateTargets(state, { type: "put", target: target("a") }, 7_000);
  updateTargets(state, { type: "tick" }, 9_000);
  assert.ok(state.targets.has("a"));
});

test("A target that drained before an outage is removed by the first list", () => {
  const state = createState([]);
  const draining = { ...target("a"), isDraining: true };
  updateTargets(state, { type: "put", target: draining }, 500);
  updateTargets(state, { type: "storeLost" }, 1_000);
  updateTargets(state, { type: "storeAnswered" }, 6_000);
  updateTargets(state, { type: "listed", targets: [] }, 6_000);
  assert.ok(!state.targets.has("a"));
});

test("A target is removed with its registration once the grace period has passed", () => {
  const state = createState(["a"]);
  updateTargets(state, { type: "storeLost" }, 1_000);
  updateTargets(state, { type: "storeAnswered" }, 6_000);
  updateTargets(state, { type: "removed", id: "a" }, 9_000);
  assert.ok(!state.targets.has("a"));
});

test("A list from an older copy brings back no target that had left and opens none that drains", () => {
  const state = createState(["a", "drains"]);
  const draining = { ...target("drains"), isDraining: true, revision: 5 };
  updateTargets(state, { type: "put", target: draining }, 500);
  updateTargets(state, { type: "removed", id: "gone" }, 600);
  const targets = ["gone", "drains"].map((id) => ({
    ...target(id),
    revision: 7,
  }));
  const list = { type: "listed", targets, isRestored: true } as const;
  updateTargets(state, list, 1_000);
  assert.ok(state.targets.has("a"), "it had no time to register again");
  assert.ok(state.targets.get("drains")?.isDraining);
  assert.ok(!state.targets.has("gone"));
  const written = { ...target("gone"), revision: 8 };
  updateTargets(state, { type: "put", target: written }, 1_500);
  assert.ok(state.targets.has("gone"));
  updateTargets(state, { type: "tick" }, 3_500);
  assert.ok(!state.targets.has("a"));
});

test("A list after a restore takes targets that registered while the store was away", () => {
  const state = createState(["a"]);
  updateTargets(state, { type: "storeLost" }, 1_000);
  updateTargets(state, { type: "storeAnswered" }, 6_000);
  const targets = [target("a"), target("new")];
  const list = { type: "listed", targets, isRestored: true } as const;
  updateTargets(state, list, 6_000);
  assert.ok(state.targets.has("new"));
});

test("A target that had left and is still listed long after a restore is taken", () => {
  const state = createState(["a"]);
  updateTargets(state, { type: "removed", id: "a" }, 500);
  const list = { type: "listed", targets: [target("a")], isRestored: true };
  updateTargets(state, list as TargetsEvent, 1_000);
  updateTargets(state, { type: "tick" }, 10_900);
  assert.ok(!state.targets.has("a"));
  assert.ok(updateTargets(state, { type: "tick" }, 11_000));
  assert.ok(state.targets.has("a"));
});

test("A target that had left and is removed again after a restore stays away", () => {
  const state = createState(["a"]);
  updateTargets(state, { type: "removed", id: "a" }, 500);
  const list = { type: "listed", targets: [target("a")], isRestored: true };
  updateTargets(state, list as TargetsEvent, 1_000);
  updateTargets(state, { type: "removed", id: "a" }, 5_000);
  updateTargets(state, { type: "tick" }, 20_000);
  assert.ok(!state.targets.has("a"));
});

test("Of two registrations with one address, the one written last takes effect", () => {
  const state = createState([]);
  const old = { ...target("old"), address: "10.0.0.9:1", revision: 5 };
  const fresh = { ...target("new"), address: "10.0.0.9:1", revision: 8 };
  updateTargets(state, { type: "listed", targets: [fresh, old] }, 0);
  assert.deepEqual([...state.targets.keys()], ["new"]);
  updateTargets(state, { type: "put", target: old }, 1);
  assert.deepEqual([...state.targets.keys()], ["new"]);
});

test("A target that is not at its address is ignored until it is written again", () => {
  const state = createState(["a", "b"]);
  assert.ok(updateTargets(state, { type: "misdirected", id: "a" }, 0));
  updateTargets(state, { type: "listed", targets: [target("a")] }, 1);
  assert.ok(!state.targets.has("a"));
  const again = { ...target("a"), revision: 9 };
  updateTargets(state, { type: "put", target: again }, 2);
  assert.ok(state.targets.has("a"));
});

// Guards against a sound target that another writer's registration takes out of use.
test("A target that is displaced from its address by one that is not there takes effect again", () => {
  const state = createState(["a"]);
  const { address } = target("a");
  const odd = { ...target("odd"), address, revision: 5 };
  const odder = { ...target("odder"), address, revision: 6 };
  updateTargets(state, { type: "put", target: odd }, 1);
  updateTargets(state, { type: "put", target: odder }, 2);
  assert.deepEqual([...state.targets.keys()], ["odder"]);
  updateTargets(state, { type: "misdirected", id: "odder" }, 3);
  assert.deepEqual([...state.targets.keys()], ["odd"]);
  updateTargets(state, { type: "misdirected", id: "odd" }, 4);
  assert.deepEqual([...state.targets.keys()], ["a"]);
  const targets = [target("a"), odd, odder];
  updateTargets(state, { type: "listed", targets }, 5);
  assert.deepEqual([...state.targets.keys()], ["a"]);
});

test("A target that is displaced takes effect again when the other is removed, unless it is gone", () => {
  for (const isGone of [false, true]) {
    const state = createState(["a"]);
    const { address } = target("a");
    const odd = { ...target("odd"), address, revision: 5 };
    updateTargets(state, { type: "put", target: odd }, 1);
    if (isGone) updateTargets(state, { type: "removed", id: "a" }, 2);
    updateTargets(state, { type: "removed", id: "odd" }, 3);
    assert.deepEqual([...state.targets.keys()], isGone ? [] : ["a"]);
  }
});

test("A registration for a service that is not served displaces no target", () => {
  const state = createState(["a"]);
  const { address } = target("a");
  const odd = { ...target("odd"), address, revision: 5, service: "unknown" };
  for (const targets of [[target("a"), odd], [odd, target("a")]]) {
    updateTargets(state, { type: "listed", targets }, 1);
    assert.ok(state.targets.has("a"));
  }
});

function createState(ids: readonly string[]) {
  const state = createTargetTracker({
    reregistrationMs: 2_000,
    isServed: (service) => service !== "unknown",
  });
  updateTargets(state, { type: "listed", targets: ids.map(target) }, 0);
  return state;
}

function target(id: string): RegisteredTarget {
  return {
    id,
    revision: 1,
    service: "s",
    address: `10.0.0.1:${id.charCodeAt(0)}`,
    dataCentre: "d",
    slots: 8,
    isDraining: false,
    run: id,
  };
}
