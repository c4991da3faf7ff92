/**
 * Randomised runs of the switch of a group's expert map, with the product's
 * cores for coordinators and ranks. After a period of faults, the ranks must
 * continue their steps, agree on one map and complete another switch.
 */

import { VERSIONS_PER_HOLDER } from "@dandelionbank/switch-map";
import type { RunReport, Soak } from "../soak.ts";
import { GroupWorld } from "./group_world.ts";

const FAULTS_END_MS = 1_500;
const SETTLED_FROM_MS = 3_500;
const END_MS = 5_000;
const PLAN_INTERVAL_MS = 300;
const LONG_LEAD_STEPS = 30;

export const MAP_SOAK: Soak = { name: "map", run };

function run(seed: number): RunReport {
  const world = GroupWorld.create({ seed, minDelayMs: 1, maxDelayMs: 4 });
  const { queue } = world;
  queue.setFaults({
    lossProbability: drawProbability(world, 0.2),
    duplicateProbability: drawProbability(world, 0.2),
    reorderProbability: drawProbability(world, 0.3),
    maxReorderDelayMs: 300,
  });
  queue.runAt(50, () => startCoordinator(world));
  planFaults(world);
  queue.runAt(FAULTS_END_MS, () => endFaults(world));
  queue.runUntilQuiet({ limitMs: SETTLED_FROM_MS });
  checkSettled(world);
  queue.runUntilQuiet({ limitMs: END_MS });
  checkSwitched(world);
  addQueueCounts(world);
  return world.report;
}

function drawProbability(world: GroupWorld, probability: number): number {
  return world.queue.random.chance(0.5) ? probability : 0;
}

function planFaults(world: GroupWorld): void {
  const { random } = world.queue;
  const count = random.int(2, 14);
  for (let index = 0; index < count; index += 1) {
    const atMs = random.int(60, FAULTS_END_MS - 1);
    const fault = random.pick(FAULTS);
    world.queue.runAt(atMs, () => fault(world));
  }
  for (let atMs = 100; atMs < FAULTS_END_MS; atMs += random.int(40, 300)) {
    world.queue.runAt(atMs, () => planSwitch(world));
  }
}

const FAULTS: readonly ((world: GroupWorld) => void)[] = [
  (world) => world.replaceAgent(pickRank(world)),
  (world) => world.replaceAgent(pickRank(world)),
  (world) => world.replaceVm(pickRank(world), "stopped"),
  (world) => world.replaceVm(pickRank(world), "paused"),
  changeCoordinator,
  pauseCoordinator,
  stallRank,
  partition,
  stopStore,
];

function pickRank(world: GroupWorld): number {
  return world.queue.random.int(0, world.size - 1);
}

/** Sends a plan to a random coordinator, which may no longer hold the duty. */
function planSwitch(world: GroupWorld): void {
  if (world.coordinators.length === 0) return;
  const coordinator = world.queue.random.pick(world.coordinators);
  if (world.queue.isRunning(coordinator.name)) {
    coordinator.handle({ type: "plan" });
  }
}

function changeCoordinator(world: GroupWorld): void {
  if (world.isStoreDown) return;
  const former = world.latestCoordinator;
  world.count("faults", "coordinatorsChanged");
  if (former !== undefined && world.queue.random.chance(0.5)) {
    world.queue.stop(former.name);
  }
  startCoordinator(world);
}

/**
 * Starts a coordinator with a random lead. Some leads have too few steps for a
 * switch, which the ranks must then refuse.
 */
function startCoordinator(world: GroupWorld): void {
  world.startCoordinator(world.queue.random.int(3, 30));
}

function pauseCoordinator(world: GroupWorld): void {
  const coordinator = world.latestCoordinator;
  if (coordinator === undefined) return;
  world.count("faults", "coordinatorsPaused");
  pause(world, coordinator.name);
}

function stallRank(world: GroupWorld): void {
  const vm = world.vms[pickRank(world)]!;
  world.count("faults", "ranksStalled");
  vm.rank.isStalled = true;
  pause(world, vm.name);
  const untilMs = world.queue.nowMs + world.queue.random.int(10, 600);
  world.queue.runAt(untilMs, () => vm.rank.isStalled = false);
}

function pause(world: GroupWorld, name: string): void {
  world.queue.freeze(name);
  const untilMs = world.queue.nowMs + world.queue.random.int(10, 900);
  world.queue.runAt(untilMs, () => world.queue.thaw(name));
}

function partition(world: GroupWorld): void {
  world.count("faults", "partitions");
  const { queue } = world;
  const names = [
    ...world.vms.map((vm) => vm.name),
    ...world.coordinators.map(({ name }) => name),
  ];
  const side = new Set(names.filter(() => queue.random.chance(0.5)));
  for (const from of names) {
    for (const to of names) {
      if (side.has(from) !== side.has(to)) queue.cut({ from, to });
    }
  }
  const untilMs = queue.nowMs + queue.random.int(10, 500);
  queue.runAt(untilMs, () => queue.healAll());
}

function stopStore(world: GroupWorld): void {
  world.count("faults", "storeOutages");
  world.isStoreDown = true;
  const untilMs = world.queue.nowMs + world.queue.random.int(10, 600);
  world.queue.runAt(untilMs, () => world.isStoreDown = false);
}

function endFaults(world: GroupWorld): void {
  const { queue } = world;
  world.isStoreDown = false;
  queue.healAll();
  queue.setFaults({
    lossProbability: 0,
    duplicateProbability: 0,
    reorderProbability: 0,
  });
  for (const { name } of [...world.vms, ...world.coordinators]) {
    queue.thaw(name);
  }
  for (const vm of world.vms) vm.rank.isStalled = false;
  world.startCoordinator(LONG_LEAD_STEPS);
}

/** Checks that after the faults all ranks make progress under one map without open proposals. */
function checkSettled(world: GroupWorld): void {
  world.count("invariants", "goesOnAfterFaults");
  const before = world.lowestStep;
  world.queue.runUntilQuiet({ limitMs: SETTLED_FROM_MS + 200 });
  if (world.lowestStep < before + 20) {
    world.reportViolation(
      `Steps only advanced from ${before} to ${world.lowestStep}`,
    );
  }
  world.count("invariants", "agreesAfterFaults");
  const versions = new Set(world.vms.map((vm) => vm.state.current.mapVersion));
  if (versions.size > 1 || world.findOpenProposal() !== undefined) {
    world.reportViolation(
      `Maps ${[...versions]}, open ${world.findOpenProposal()?.mapVersion}`,
    );
  }
  for (
    let atMs = SETTLED_FROM_MS + 200;
    atMs < END_MS;
    atMs += PLAN_INTERVAL_MS
  ) {
    world.queue.runAt(atMs, () => planUntilSwitched(world));
  }
}

/** Plans again until a switch succeeds. A plan is aborted if a former VM answers for its rank. */
function planUntilSwitched(world: GroupWorld): void {
  const coordinator = world.latestCoordinator;
  if (coordinator === undefined || hasSwitchedToLatest(world)) return;
  coordinator.handle({ type: "plan" });
}

function checkSwitched(world: GroupWorld): void {
  world.count("invariants", "switchesAfterFaults");
  if (!hasSwitchedToLatest(world)) {
    world.reportViolation("No switch after the faults");
  }
}

/** Returns whether every rank has switched to a map of the latest coordinator. */
function hasSwitchedToLatest(world: GroupWorld): boolean {
  const fencingNumber = world.latestCoordinator?.state.options.fencingNumber;
  return world.vms.every((vm) =>
    Math.floor(vm.state.current.mapVersion / VERSIONS_PER_HOLDER) ===
      fencingNumber
  );
}

function addQueueCounts(world: GroupWorld): void {
  const { lost, duplicated, reordered, cut } = world.queue.counts;
  Object.assign(world.report.faults, {
    messagesLost: lost,
    messagesDoubled: duplicated,
    messagesCrossed: reordered,
    messagesCut: cut,
  });
}
