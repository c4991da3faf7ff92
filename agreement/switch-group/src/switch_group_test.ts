import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { ExpertMap, GroupOrder } from "@dandelionbank/types";
import { GroupModel, type OrderDelivery } from "@dandelionbank/group-model";
import {
  createSwitchState,
  requiresCurrentMap,
  stepSwitch,
  type SwitchEffect,
  type SwitchEvent,
  type SwitchState,
} from "./mod.ts";

type AdvancedEffect = Extract<SwitchEffect, { readonly type: "advanced" }>;

const MAP: ExpertMap = [[[0], [1], [2]]];
const RANKS = 3;
const TICK_MS = 20;
const PASS_MS = 60;
const LATE_MS = 12_000;
/** Time for which an agent reports that a lost order to arm may be carried out. */
const MAY_ARM_LATE_MS = 13_000;

test("Without faults a switch delays no pass", () => {
  const world = new World();
  world.plan();
  world.run(1_000);
  assert.ok(world.group.mapVersion > 0);
  assert.equal(world.heldTicks, 0);
});

test("An order to arm that gets no answer is repeated before the group misses a pass", () => {
  const world = new World();
  let lostOrders = 0;
  world.chooseDeliveryOf = (rank, { kind }) => {
    if (kind !== "arm" || rank !== 1 || lostOrders > 0) return "answered";
    lostOrders += 1;
    return "late";
  };
  world.plan();
  world.run(1_000);
  assert.ok(world.group.mapVersion > 0);
  assert.equal(lostOrders, 1);
  assert.equal(world.heldTicks, 0);
});

test("Each phase of a switch and its end are reported once, with the version", () => {
  const world = new World();
  const phases: string[] = [];
  world.onAdvanced = ({ phase, version, epoch }) => {
    assert.ok(version >= 100 && epoch === 1, `${phase} ${version} ${epoch}`);
    phases.push(phase);
  };
  world.plan();
  world.run(1_000);
  assert.deepEqual(phases, [
    "preparing",
    "holding",
    "confirming",
    "arming",
    "releasing",
    "settling",
    "switched",
  ]);
});

test("A group without requests switches when its next pass begins", () => {
  const world = new World();
  world.group.isBusy = false;
  world.plan();
  world.run(1_000);
  assert.equal(world.group.mapVersion, 0);
  world.group.isBusy = true;
  world.run(1_000);
  assert.ok(world.group.mapVersion > 0);
});

test("A successor ends the hold of a pass for which no rank is armed", () => {
  const world = createWorldWithHeldPass();
  assert.ok(world.group.hasAnyHold);
  world.replaceCoordinator();
  world.chooseDelivery = () => "answered";
  world.run(200);
  assert.ok(!world.group.hasAnyHold);
  assert.equal(world.group.mapVersion, 0);
  assertNextSwitchSucceeds(world);
});

test("A successor releases a pass for which all ranks are armed", () => {
  const world = new World();
  world.chooseDeliveryOf = (_rank, { kind }) =>
    kind === "release" ? "lost" : "answered";
  world.plan();
  world.run(500);
  assert.ok(world.group.isHeld);
  world.replaceCoordinator();
  world.chooseDeliveryOf = undefined;
  world.run(500);
  assert.ok(world.group.mapVersion > 0);
  assert.ok(!world.group.hasAnyHold);
});

test("A successor takes back ranks that are armed, also by late orders", () => {
  for (const lateMs of [100, 320, 330, 400, 900]) {
    const world = new World();
    world.chooseDelayMs = () => lateMs;
    world.chooseDeliveryOf = (rank, { kind }) => {
      if (kind !== "arm" || rank === 2) return "answered";
      return rank === 1 ? "late" : "lost";
    };
    world.plan();
    world.run(300);
    assert.ok(world.group.isHeld);
    world.replaceCoordinator();
    world.chooseDeliveryOf = undefined;
    world.run(1_500);
    assert.ok(!world.group.hasAnyHold);
    assert.equal(world.group.mapVersion, 0);
    assertNextSwitchSucceeds(world);
  }
});

// Guards against a coordinator that sends orders without a pause to a rank that
// was armed by a late order and so refuses them.
test("A rank that refuses an order to revert gets no other before its next report", () => {
  const world = createWorldWithHeldPass();
  world.replaceCoordinator();
  world.chooseDelivery = () => "answered";
  const sent: GroupOrder[] = [];
  world.onOrder = (rank, order) => {
    if (rank !== 1 || order.kind !== "supersede") return;
    sent.push(order);
    if (sent.length > 1) return;
    const { preparedVersion: version } = world.group.listReports()[rank]!;
    const lateArm: GroupOrder = {
      kind: "arm",
      version,
      step: world.group.step + 1,
    };
    world.group.send({ rank, order: lateArm, epoch: 1 }, {
      delivery: "answered",
      delayMs: 0,
      nowMs: 0,
    });
  };
  world.run(1_000);
  assert.ok(!world.group.hasAnyHold);
  assert.ok(sent.length >= 2 && sent.length <= 4, `${sent.length} orders`);
});

test("A held pass is released despite a silent agent, and no new one is held", () => {
  const world = createWorldWithHeldPass();
  world.replaceCoordinator();
  world.isFollowedByAll = false;
  world.chooseDelivery = () => "answered";
  world.run(1_000);
  assert.ok(!world.group.hasAnyHold);
  world.onOrder = (_rank, { kind }) => assert.notEqual(kind, "hold");
  world.plan();
  world.run(1_000);
  assert.equal(world.group.mapVersion, 0);
});

test("A pass that may have been held before is not held in an idle group", () => {
  const world = new World();
  world.group.isBusy = false;
  const steps: number[] = [];
  world.onOrder = (_rank, order) => {
    if (order.kind === "hold") steps.push(order.step);
  };
  world.plan();
  world.run(500);
  assert.deepEqual(steps, []);
  world.group.isBusy = true;
  world.run(500);
  assert.ok(steps.length > 0 && steps[0]! > 2, `held ${steps}`);
});

test("A hold is cancelled if an agent stops answering before any rank is armed", () => {
  for (const answersDirectly of [true, false]) {
    const world = new World();
    world.onOrder = (_rank, { kind }) => {
      assert.notEqual(kind, "arm");
      if (kind !== "hold") return;
      world.isFollowedByAll = false;
      if (!answersDirectly) world.frozenRank = 0;
    };
    world.plan();
    world.run(1_000);
    assert.ok(!world.group.hasAnyHold);
    assert.ok(world.heldTicks <= 1, `held for ${world.heldTicks} passes`);
    world.onOrder = () => undefined;
    world.frozenRank = undefined;
    world.isFollowedByAll = true;
    assertNextSwitchSucceeds(world);
  }
});

test("A hold that arrives again after it was cancelled is released", () => {
  const world = new World();
  let holds = 0;
  world.chooseDeliveryOf = (_rank, { kind }) => {
    if (kind !== "hold") return "answered";
    holds += 1;
    return holds === 1 ? "late" : "answered";
  };
  world.chooseDelayMs = () => 900;
  world.onOrder = (_rank, { kind }) => {
    if (kind !== "hold") return;
    world.isFollowedByAll = false;
    world.group.isBusy = false;
  };
  world.plan();
  world.run(3_000);
  assert.ok(holds > 1);
  assert.ok(!world.group.hasAnyHold);
});

test("A successor does not arm ranks for a pass whose hold was cancelled", () => {
  const world = new World();
  world.onOrder = (_rank, { kind }) => {
    if (kind === "hold") world.isFollowedByAll = false;
  };
  world.chooseDeliveryOf = (_rank, { kind }) =>
    kind === "release" ? "late" : "answered";
  world.chooseDelayMs = () => 2_000;
  world.plan();
  world.run(300);
  assert.ok(world.group.isHeld);
  world.replaceCoordinator();
  world.isFollowedByAll = true;
  world.onOrder = (_rank, { kind }) => assert.notEqual(kind, "arm");
  world.run(4_000);
  assert.ok(!world.group.hasAnyHold);
  assert.equal(world.group.mapVersion, 0);
});

// Guards against passes with two maps: a successor that armed ranks for a held
// pass raced with its predecessor's order to release it, delayed at a rank.
test("A successor arms no rank while an order to release the pass may arrive", () => {
  const world = new World();
  world.onOrder = (rank, { kind }) => {
    if (kind !== "hold") return;
    world.isFollowedByAll = false;
    world.silentRank = rank;
  };
  world.chooseDeliveryOf = (_rank, { kind }) =>
    kind === "release" ? "late" : "answered";
  world.chooseDelayMs = () => 2_000;
  world.plan();
  world.run(300);
  assert.ok(world.group.isHeld);
  world.replaceCoordinator();
  world.onOrder = () => undefined;
  world.chooseDeliveryOf = (rank, { kind }) =>
    kind === "arm" && rank === RANKS - 1 ? "late" : "answered";
  world.run(5_000);
  assert.ok(!world.group.hasAnyHold);
  world.isFollowedByAll = true;
  world.silentRank = undefined;
  world.chooseDeliveryOf = undefined;
  assertNextSwitchSucceeds(world);
});

test("A pass held by a coordinator that froze with its rank is released", () => {
  const world = createWorldWithHeldPass();
  world.replaceCoordinator();
  world.frozenRank = 0;
  world.chooseDelivery = () => "answered";
  world.mayArmLate = true;
  world.run(500);
  assert.ok(world.group.isHeld, "an order to arm may still arrive");
  world.mayArmLate = false;
  world.run(500);
  assert.ok(!world.group.hasAnyHold);
  assert.equal(world.group.mapVersion, 0);
});

test("A held pass stays held while a rank other than the coordinator's is missing", () => {
  const world = createWorldWithHeldPass();
  world.replaceCoordinator();
  world.chooseDelivery = () => "answered";
  world.frozenRank = 2;
  world.run(500);
  assert.ok(world.group.isHeld, "the missing rank may be armed already");
  world.frozenRank = undefined;
  world.run(2_000);
  assert.ok(!world.group.hasAnyHold);
});

test("No order is sent for a plan unless all agents follow the coordinator", () => {
  const world = new World();
  world.isFollowedByAll = false;
  world.onOrder = (rank, order) => assert.fail(`${order.kind} to ${rank}`);
  world.plan();
  world.run(1_000);
  assert.equal(world.group.mapVersion, 0);
});

test("A map in flight is not resent, and one that was lost is resent at once", () => {
  const state = createSwitchState({ firstVersion: 100, ownRank: 0 });
  const group = new GroupModel(RANKS);
  const sent: number[] = [];
  const post = (event: SwitchEvent, nowMs: number) => {
    for (const effect of stepSwitch(state, event, nowMs).effects) {
      if (effect.type === "send") sent.push(effect.rank);
    }
  };
  const reported = {
    type: "reported",
    reports: group.listReports(),
    polledAtMs: 0,
    isFollowedByAll: true,
    agentOrders: new Map(),
  } as const;
  post(reported, 0);
  post({ type: "planned", map: MAP }, 0);
  assert.deepEqual(sent.splice(0), [0, 1, 2]);
  post(reported, 500);
  assert.deepEqual(sent, []);
  const order: GroupOrder = { kind: "prepare", version: 100, map: MAP };
  const lost = { type: "orderEnded", order, epoch: 1, result: "lost" } as const;
  post({ ...lost, rank: 1 }, 510);
  assert.deepEqual(sent.splice(0), [1]);
  post(reported, 1_000);
  assert.deepEqual(sent, [0, 2]);
});

test("No pass is held unless all agents follow the coordinator", () => {
  const world = new World();
  let prepared = 0;
  world.onOrder = (_rank, order) => {
    assert.notEqual(order.kind, "hold");
    if (order.kind === "prepare") prepared += 1;
    world.isFollowedByAll = false;
  };
  world.plan();
  world.run(1_000);
  assert.ok(prepared > 0);
  assert.equal(world.group.mapVersion, 0);
});

test("A late hold of another switch does not block this one", () => {
  const world = new World();
  world.onOrder = (rank, order) => {
    if (order.kind !== "prepare" || rank !== RANKS - 1) return;
    const lateHold: GroupOrder = { kind: "hold", step: world.group.step + 1 };
    world.group.send({ rank: 1, order: lateHold, epoch: 1 }, {
      delivery: "answered",
      delayMs: 0,
      nowMs: 0,
    });
  };
  world.plan();
  world.run(2_000);
  assert.ok(world.group.mapVersion > 0);
  assert.ok(!world.group.hasAnyHold);
});

test("The coordinator's own rank is armed last", () => {
  const world = new World();
  const armed: number[] = [];
  world.onOrder = (rank, order) => {
    if (order.kind === "arm") armed.push(rank);
    if (order.kind === "hold") assert.notEqual(rank, 0);
  };
  world.plan();
  world.run(1_000);
  assert.equal(armed.at(-1), 0);
  assert.equal(armed.length, RANKS);
});

test("The group switches eventually if any one order is lost or late", () => {
  for (const delivery of ["lost", "unanswered", "late"] as const) {
    for (let index = 0; index < 12; index++) {
      const world = new World();
      world.chooseDelivery = (count) => count === index ? delivery : "answered";
      world.plan();
      world.run(LATE_MS + 4_000);
      const label = `order ${index} ${delivery}`;
      assert.ok(world.group.mapVersion > 0, label);
      assert.ok(!world.group.hasAnyHold, label);
    }
  }
});

test("Under any faults no pass has two maps, and no hold remains", () => {
  const actions = fc.array(
    fc.oneof(
      { weight: 12, arbitrary: fc.constant("run" as const) },
      { weight: 4, arbitrary: fc.constant("plan" as const) },
      { weight: 2, arbitrary: fc.constant("replace" as const) },
      { weight: 1, arbitrary: fc.constant("reform" as const) },
      { weight: 1, arbitrary: fc.constant("toggleBusy" as const) },
      { weight: 2, arbitrary: fc.constant("toggleSilent" as const) },
    ),
    { minLength: 10, maxLength: 80 },
  );
  const deliveries = fc.array(
    fc.constantFrom<OrderDelivery>(
      "answered",
      "answered",
      "lost",
      "unanswered",
      "late",
    ),
    { minLength: 40, maxLength: 200 },
  );
  const delays = fc.array(fc.integer({ min: 100, max: LATE_MS }), {
    minLength: 10,
    maxLength: 40,
  });
  fc.assert(
    fc.property(
      actions,
      deliveries,
      delays,
      (steps, deliveryList, delayList) => {
        const world = new World();
        world.chooseDelivery = (count) =>
          deliveryList[count % deliveryList.length]!;
        world.chooseDelayMs = (count) => delayList[count % delayList.length]!;
        for (const action of steps) {
          if (action === "plan") world.plan();
          if (action === "replace") world.replaceCoordinator();
          if (action === "reform") world.group.reform();
          if (action === "toggleBusy") world.group.isBusy = !world.group.isBusy;
          if (action === "toggleSilent") world.toggleSilent(1);
          world.run(200);
        }
        world.chooseDelivery = () => "answered";
        if (!world.isFollowedByAll) world.toggleSilent(1);
        world.group.isBusy = true;
        world.run(LATE_MS + 4_000);
        assert.ok(!world.group.hasAnyHold);
        const before = world.group.mapVersion;
        world.plan();
        world.run(2_000);
        assert.ok(world.group.mapVersion > before);
      },
    ),
    { numRuns: 150 },
  );
});

function assertNextSwitchSucceeds(world: World): void {
  const before = world.group.mapVersion;
  world.plan();
  world.run(1_000);
  assert.ok(world.group.mapVersion > before);
}

/** Creates a group with a held pass, where every order to arm is lost. */
function createWorldWithHeldPass(): World {
  const world = new World();
  const beforeArming = RANKS + 1;
  world.chooseDelivery = (count) => count > beforeArming ? "lost" : "answered";
  world.plan();
  world.run(500);
  assert.ok(world.group.isHeld);
  return world;
}

/** A coordinator and a model of its group, in virtual time. */
class World {
  readonly group = new GroupModel(RANKS);
  chooseDelivery: (count: number) => OrderDelivery = () => "answered";
  /** Decides by the order instead, if set. */
  chooseDeliveryOf:
    | ((rank: number, order: GroupOrder) => OrderDelivery)
    | undefined;
  chooseDelayMs: (count: number) => number = () => 5_000;
  onOrder: (rank: number, order: GroupOrder) => void = () => undefined;
  onAdvanced: (effect: AdvancedEffect) => void = () => undefined;
  heldTicks = 0;
  /** A rank that does not answer at all. */
  frozenRank: number | undefined;
  /** A rank whose agent does not answer; its engine does. */
  silentRank: number | undefined;
  /**
   * Whether the agents report that an order to arm may still be carried out; by
   * default as they know from orders without an answer.
   */
  mayArmLate: boolean | undefined;
  readonly #lostArmAtMs = new Map<number, number>();
  /** False while the reports of some rank do not come through its agent. */
  isFollowedByAll = true;
  #nowMs = 0;
  #sent = 0;
  #term = 1;
  #state: SwitchState = createSwitchState({
    firstVersion: 100,
    ownRank: 0,
  });

  plan(): void {
    this.#post({ type: "planned", map: MAP });
  }

  /** Starts a new coordinator without state; orders in flight may still arrive. */
  replaceCoordinator(): void {
    this.#term += 1;
    this.#state = createSwitchState({
      firstVersion: this.#term * 100,
      ownRank: this.#term % RANKS,
    });
  }

  /** Lets the agent of a rank stop answering, or answer again. */
  toggleSilent(rank: number): void {
    this.isFollowedByAll = !this.isFollowedByAll;
    this.silentRank = this.isFollowedByAll ? undefined : rank;
  }

  run(durationMs: number): void {
    const untilMs = this.#nowMs + durationMs;
    while (this.#nowMs < untilMs) this.tick();
  }

  tick(): void {
    this.#nowMs += TICK_MS;
    this.group.applyDelayedOrders(this.#nowMs);
    if (this.#nowMs % PASS_MS === 0) {
      if (this.group.isHeld) this.heldTicks += 1;
      this.group.beginPass();
    }
    this.#post({
      type: "reported",
      reports: this.group.listReports().filter(({ rank }) =>
        rank !== this.frozenRank
      ),
      polledAtMs: this.#nowMs,
      isFollowedByAll: this.isFollowedByAll,
      agentOrders: new Map(
        this.group.listReports()
          .filter(({ rank }) => rank !== this.silentRank)
          .map(({ rank }) => [rank, {
            mayArmLate: this.mayArmLate ?? this.#hasLostArm(rank),
            orderedByRank: 0,
          }]),
      ),
    });
    if (requiresCurrentMap(this.#state)) {
      this.#post({ type: "currentMapRead", map: MAP });
    }
  }

  #post(event: SwitchEvent): void {
    const { effects } = stepSwitch(this.#state, event, this.#nowMs);
    for (const effect of effects) this.#perform(effect);
  }

  #perform(effect: SwitchEffect): void {
    if (effect.type === "advanced") return this.onAdvanced(effect);
    const { rank, order, epoch } = effect;
    this.#sent += 1;
    this.onOrder(rank, order);
    const result = this.group.send({ rank, order, epoch }, {
      delivery: this.chooseDeliveryOf?.(rank, order) ??
        this.chooseDelivery(this.#sent),
      delayMs: this.chooseDelayMs(this.#sent),
      nowMs: this.#nowMs,
    });
    if (order.kind === "arm" && result === "lost") {
      this.#lostArmAtMs.set(rank, this.#nowMs);
    }
    this.#post({ type: "orderEnded", rank, order, epoch, result });
  }

  #hasLostArm(rank: number): boolean {
    const lostAtMs = this.#lostArmAtMs.get(rank);
    return lostAtMs !== undefined && this.#nowMs - lostAtMs < MAY_ARM_LATE_MS;
  }
}
