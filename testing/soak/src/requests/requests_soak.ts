/**
 * The soak `requests`: callers that resubmit through any entry, the product's
 * cores of entries and agents, and faults of every kind. The soak only carries
 * messages and records what the targets executed; all decisions are the cores'.
 */

import type { RunReport, Soak } from "../soak.ts";
import { planFaults } from "./fault_plan.ts";
import type { PlannedCall } from "./caller_node.ts";
import { FAULTS_END_MS, RUN_END_MS } from "./settings.ts";
import { Site } from "./site.ts";
import { type Operation, POOLS, World } from "./world.ts";

/** Time of the first calls. All nodes have registered by then. */
const WORK_BEGINS_MS = 100;
const MAX_OPERATIONS = 14;

export const REQUESTS_SOAK: Soak = { name: "requests", run };

function run(seed: number): RunReport {
  const world = new World(seed);
  const site = new Site(world);
  planFaults(world, site);
  planWork(world, site);
  // The longest fault lasts 1 500 ms.
  world.queue.runAt(FAULTS_END_MS + 1_500, () => endFaults(world));
  world.queue.runUntilQuiet({ limitMs: RUN_END_MS });
  site.checkEnd();
  return createReport(world);
}

function planWork(world: World, site: Site): void {
  const { queue, random } = world;
  const count = random.int(2, MAX_OPERATIONS);
  for (let index = 0; index < count; index++) {
    const atMs = random.int(WORK_BEGINS_MS, FAULTS_END_MS);
    queue.runAt(atMs, () => beginCall(world, site));
  }
}

function beginCall(world: World, site: Site): void {
  const { random } = world;
  const caller = random.pick(site.callers);
  const call = drawCall(world, site);
  caller.submit(call);
  const shouldReuseKey = call.key !== undefined && random.chance(0.1);
  if (shouldReuseKey) random.pick(site.callers).submit(reuseKey(world, call));
}

/** Draws a random call, with a key in three of four cases. */
export function drawCall(world: World, site: Site): PlannedCall {
  const { random, queue } = world;
  const homes = site.listServing().filter(({ name }) => !queue.isFrozen(name));
  const hasKey = homes.length > 0 && random.chance(0.75);
  const ticket = hasKey ? random.pick(homes).issueTicket() : undefined;
  const id = world.nextId("op");
  const organisation = random.pick(["acme", "zeta"]);
  const idempotent = random.chance(0.3);
  const operation = addOperation(world, {
    id,
    organisation,
    pool: idempotent ? random.pick(POOLS) : "plain",
    idempotent,
    key: ticket && `${organisation}/${id}`,
    fingerprint: drawFingerprint(world),
    partCount: random.int(0, 5),
    crashesTarget: false,
  });
  const key = ticket && { ticket, signature: "s", suffix: id };
  return { operation, key };
}

/** Creates another call under the same key, which must not get the first call's answer. */
function reuseKey(world: World, call: PlannedCall): PlannedCall {
  const operation = addOperation(world, {
    ...call.operation,
    id: world.nextId("reuse"),
    fingerprint: drawFingerprint(world),
  });
  return { operation, key: call.key };
}

function addOperation(world: World, operation: Operation): Operation {
  world.operations.set(operation.id, operation);
  return operation;
}

function drawFingerprint(world: World): string {
  const words = [1, 2, 3].map(() => world.random.int(0, 0x7fffffff));
  return words.map((word) => word.toString(16).padStart(8, "0")).join("");
}

function endFaults(world: World): void {
  world.queue.healAll();
  world.queue.setFaults({
    lossProbability: 0,
    duplicateProbability: 0,
    reorderProbability: 0,
    maxDelayMs: 2,
  });
  world.store.lostAnswerProbability = 0;
}

function createReport(world: World): RunReport {
  const { counts } = world.queue;
  return {
    faults: {
      ...world.faults,
      messagesLost: counts.lost,
      messagesDoubled: counts.duplicated,
      messagesCrossed: counts.reordered,
      messagesCut: counts.cut,
    },
    outcomes: world.outcomes,
    invariants: world.invariants,
    violations: world.violations,
  };
}
