/**
 * The soak `requests`: callers that resend through any entry, the real cores of
 * entries and agents, and faults of every kind. Nothing here decides; it only
 * carries messages and knows what was really executed.
 */

import type { RunReport, Soak } from "../soak.ts";
import { planFaults } from "./fault_plan.ts";
import type { CallPlan } from "./caller_node.ts";
import { FAULTS_END_MS, RUN_END_MS } from "./settings.ts";
import { Site } from "./site.ts";
import { type Operation, POOLS, World } from "./world.ts";

/** First moment at which work is sent: the nodes have registered by then. */
const WORK_BEGINS_MS = 100;
const MAX_OPERATIONS = 14;

export const REQUESTS_SOAK: Soak = { name: "requests", run };

function run(seed: number): RunReport {
  const world = new World(seed);
  const site = new Site(world);
  planFaults(world, site);
  planWork(world, site);
  world.queue.runAt(FAULTS_END_MS + 1_500, () => healAll(world));
  world.queue.runUntilQuiet({ limitMs: RUN_END_MS });
  site.checkEnd();
  return report(world);
}

function planWork(world: World, site: Site): void {
  const { queue, random } = world;
  const count = random.int(2, MAX_OPERATIONS);
  for (let at = 0; at < count; at++) {
    const atMs = random.int(WORK_BEGINS_MS, FAULTS_END_MS);
    queue.runAt(atMs, () => beginCall(world, site));
  }
}

function beginCall(world: World, site: Site): void {
  const { random } = world;
  const caller = random.pick(site.callers);
  const plan = drawCall(world, site);
  caller.begin(plan);
  const reuse = plan.key !== undefined && random.chance(0.1);
  if (reuse) random.pick(site.callers).begin(reuseKey(world, plan));
}

/** A call as callers of this soak make it. */
export function drawCall(world: World, site: Site): CallPlan {
  const { random, queue } = world;
  const homes = site.listServing().filter(({ name }) => !queue.isFrozen(name));
  const keyed = homes.length > 0 && random.chance(0.75);
  const ticket = keyed ? random.pick(homes).issueTicket() : undefined;
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
    kills: false,
  });
  const key = ticket && { ticket, signature: "s", suffix: id };
  return { operation, key };
}

/** Another call under the same key, which must never get its answer. */
function reuseKey(world: World, plan: CallPlan): CallPlan {
  const operation = addOperation(world, {
    ...plan.operation,
    id: world.nextId("reuse"),
    fingerprint: drawFingerprint(world),
  });
  return { operation, key: plan.key };
}

function addOperation(world: World, operation: Operation): Operation {
  world.operations.set(operation.id, operation);
  return operation;
}

function drawFingerprint(world: World): string {
  const words = [1, 2, 3].map(() => world.random.int(0, 0x7fffffff));
  return words.map((word) => word.toString(16).padStart(8, "0")).join("");
}

function healAll(world: World): void {
  world.queue.healAll();
  world.queue.setFaults({
    lossProbability: 0,
    duplicateProbability: 0,
    reorderProbability: 0,
    maxDelayMs: 2,
  });
  world.store.lostAnswerShare = 0;
}

function report(world: World): RunReport {
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
