/**
 * Randomised runs of the cores for coordinator duties and for the agents' check
 * of orders. A duty has no expiry time. The soak checks that an order of a former
 * holder never reaches an engine after an order of its successor, however long
 * the former holder was paused.
 */

import type { RunReport, Soak } from "../soak.ts";
import { LeasesWorld } from "./leases_world.ts";
import { STORE } from "./store_node.ts";

const FAULTS_END_MS = 3_000;
const STEADY_FROM_MS = 6_000;
const END_MS = 8_000;

export const LEASES_SOAK: Soak = { name: "leases", run };

function run(seed: number): RunReport {
  const world = LeasesWorld.create(seed);
  const { queue } = world;
  queue.setFaults({
    lossProbability: queue.random.chance(0.5) ? 0.15 : 0,
    duplicateProbability: queue.random.chance(0.5) ? 0.15 : 0,
    reorderProbability: queue.random.chance(0.5) ? 0.2 : 0,
    maxReorderDelayMs: 500,
  });
  const count = queue.random.int(2, 14);
  for (let index = 0; index < count; index += 1) {
    const fault = queue.random.pick(FAULTS);
    queue.runAt(queue.random.int(20, FAULTS_END_MS - 1), () => fault(world));
  }
  queue.runAt(FAULTS_END_MS, () => endFaults(world));
  queue.runUntilQuiet({ limitMs: STEADY_FROM_MS });
  checkSteadyState(world);
  const { lost, duplicated, reordered, cut } = queue.counts;
  Object.assign(world.report.faults, {
    messagesLost: lost,
    messagesDoubled: duplicated,
    messagesCrossed: reordered,
    messagesCut: cut,
  });
  return world.report;
}

/** The faults to draw from. A pause of the holder is drawn twice as often as the others. */
const FAULTS: readonly ((world: LeasesWorld) => void)[] = [
  (world) => replaceEntry(world, "stopped"),
  (world) => replaceEntry(world, "paused"),
  pauseHolder,
  pauseHolder,
  replaceAgent,
  stopStore,
  loseStoreAnswers,
  flapList,
  partition,
];

function replaceEntry(
  world: LeasesWorld,
  former: "stopped" | "paused",
): void {
  world.count(
    "faults",
    `entries${former === "paused" ? "Paused" : "Replaced"}`,
  );
  world.replaceEntry(pickIndex(world, world.entries), former);
}

/** Pauses the holder, which sends orders as soon as it resumes, even if it was replaced. */
function pauseHolder(world: LeasesWorld): void {
  const holder = world.entries.find((entry) =>
    entry.fencingNumber !== undefined
  );
  if (holder === undefined) return;
  world.count("faults", "holdersPaused");
  world.pause(holder.name);
  if (world.queue.random.chance(0.7)) removeFromList(world, holder.holder);
}

function replaceAgent(world: LeasesWorld): void {
  world.count("faults", "agentsReplaced");
  world.replaceAgent(pickIndex(world, world.agents));
}

function stopStore(world: LeasesWorld): void {
  world.count("faults", "storeOutages");
  world.store.isDown = true;
  const untilMs = world.queue.nowMs + world.queue.random.int(10, 1_000);
  world.queue.runAt(untilMs, () => world.store.isDown = false);
}

function loseStoreAnswers(world: LeasesWorld): void {
  world.store.losesAnswers = true;
  const untilMs = world.queue.nowMs + world.queue.random.int(10, 1_000);
  world.queue.runAt(untilMs, () => world.store.losesAnswers = false);
}

/** Removes a live entry from the platform's list for a while. */
function flapList(world: LeasesWorld): void {
  world.count("faults", "listFlaps");
  removeFromList(world, world.queue.random.pick(world.entries).holder);
}

function removeFromList(world: LeasesWorld, holder: string): void {
  world.unlistedHolders.add(holder);
  const untilMs = world.queue.nowMs + world.queue.random.int(10, 1_500);
  world.queue.runAt(untilMs, () => world.unlistedHolders.delete(holder));
}

function partition(world: LeasesWorld): void {
  world.count("faults", "partitions");
  const { queue } = world;
  const names = [STORE, ...world.entries, ...world.agents]
    .map((node) => typeof node === "string" ? node : node.name);
  const side = new Set(names.filter(() => queue.random.chance(0.5)));
  for (const from of names) {
    for (const to of names) {
      if (side.has(from) !== side.has(to)) queue.cut({ from, to });
    }
  }
  queue.runAt(queue.nowMs + queue.random.int(10, 800), () => queue.healAll());
}

function endFaults(world: LeasesWorld): void {
  const { queue, store } = world;
  store.isDown = false;
  store.losesAnswers = false;
  world.unlistedHolders.clear();
  queue.healAll();
  queue.setFaults({
    lossProbability: 0,
    duplicateProbability: 0,
    reorderProbability: 0,
  });
  for (const { name } of world.entries) queue.thaw(name);
}

/**
 * Checks the steady state long after the faults: one entry holds the duty, its
 * orders are executed, and nothing is written to the store.
 */
function checkSteadyState(world: LeasesWorld): void {
  const writes = world.store.writeCount;
  const executed = world.agents.map(({ engine }) => engine.executed.length);
  world.queue.runUntilQuiet({ limitMs: END_MS });
  world.count("invariants", "steadyStateWritesNothing");
  if (world.store.writeCount !== writes) {
    world.reportViolation(
      `${world.store.writeCount - writes} writes in the steady state`,
    );
  }
  world.count("invariants", "heldAfterFaults");
  const holders = world.entries.filter((entry) =>
    entry.fencingNumber === world.store.object?.revision
  );
  if (holders.length !== 1) {
    world.reportViolation(`${holders.length} holders at the end`);
  }
  world.count("invariants", "ordersRunAfterFaults");
  const idle = world.agents.filter(({ engine }, index) =>
    engine.executed.length === executed[index]
  );
  if (idle.length > 0) {
    world.reportViolation(`No order was executed at ${idle[0]!.name}`);
  }
}

function pickIndex(world: LeasesWorld, items: readonly unknown[]): number {
  return world.queue.random.int(0, items.length - 1);
}
