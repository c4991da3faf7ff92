/** Draws and injects the faults of a run of the soak `requests`. */

import type { MessageFaults } from "@dandelionbank/message-queue";
import type { Site } from "./site.ts";
import { FAULTS_END_MS } from "./settings.ts";
import type { World } from "./world.ts";

const FAULT_KINDS = [
  "entryKilled",
  "agentKilled",
  "entryFrozen",
  "agentFrozen",
  "linkCut",
  "nodeCutOff",
  "agentStopped",
  "agentLeaving",
  "storeOut",
  "clockJumped",
  "agentReplaced",
] as const;

type FaultKind = typeof FAULT_KINDS[number];

const MAX_FAULTS = 8;
/** Probability that a run has no injected faults. */
const FAULT_FREE_PROBABILITY = 0.05;

export function planFaults(world: World, site: Site): void {
  const { random, queue } = world;
  if (random.chance(FAULT_FREE_PROBABILITY)) return;
  queue.setFaults(drawMessageFaults(world));
  world.maxPartDelayMs = random.pick([30, 30, 200]);
  world.store.lostAnswerProbability = random.chance(0.5) ? 0.1 : 0;
  const count = random.int(0, MAX_FAULTS);
  for (let fault = 0; fault < count; fault++) {
    const kind = random.pick(FAULT_KINDS);
    const atMs = random.int(100, FAULTS_END_MS);
    queue.runAt(atMs, () => {
      world.countFault(kind);
      injectFault(world, { kind, site });
    });
  }
}

export function drawMessageFaults(world: World): MessageFaults {
  const { random } = world;
  const hasMessageFaults = random.chance(0.5);
  return {
    minDelayMs: 1,
    maxDelayMs: random.int(1, 15),
    lossProbability: hasMessageFaults ? random.int(0, 6) / 100 : 0,
    duplicateProbability: hasMessageFaults ? random.int(0, 6) / 100 : 0,
    reorderProbability: hasMessageFaults ? random.int(0, 10) / 100 : 0,
    maxReorderDelayMs: random.int(50, 1_200),
  };
}

function injectFault(
  world: World,
  fault: { readonly kind: FaultKind; readonly site: Site },
): void {
  const { random, queue } = world;
  const { kind, site } = fault;
  const entry = random.pick(world.plan.entries);
  const agent = random.pick(world.plan.agents);
  const durationMs = random.chance(0.3)
    ? random.int(5, 60)
    : random.int(50, 1_500);
  switch (kind) {
    case "entryKilled":
      return site.killEntry(entry, durationMs);
    case "agentKilled":
      return site.killAgent(agent, durationMs);
    case "agentReplaced":
      return site.replaceAgent(agent, durationMs);
    case "entryFrozen":
      return freeze(world, { name: entry, durationMs });
    case "agentFrozen":
      return freeze(world, { name: agent.target, durationMs });
    case "linkCut":
      return cut(world, { from: entry, to: agent.target, durationMs });
    case "nodeCutOff":
      return isolate(world, {
        name: random.pick([entry, agent.target]),
        durationMs,
      });
    case "agentStopped":
      return site.stopAgent(agent, { durationMs, reason: "plannedStop" });
    case "agentLeaving":
      return site.stopAgent(agent, { durationMs, reason: "leavingList" });
    case "storeOut":
      world.store.isDown = true;
      return queue.runAt(queue.nowMs + durationMs, () => {
        world.store.isDown = false;
      });
    case "clockJumped":
      return jumpClock(world, { entry, agent: agent.target });
  }
}

/**
 * An entry's clock only jumps forward, as a monotonic clock can after a pause.
 * An agent's clock also jumps back.
 */
function jumpClock(
  world: World,
  nodes: { readonly entry: string; readonly agent: string },
): void {
  const { random, queue } = world;
  if (random.chance(0.5)) queue.jumpClock(nodes.entry, random.int(10, 3_000));
  else queue.jumpClock(nodes.agent, random.int(-2_000, 10_000));
}

function freeze(
  world: World,
  node: { readonly name: string; readonly durationMs: number },
): void {
  const { queue } = world;
  queue.freeze(node.name);
  queue.runAt(queue.nowMs + node.durationMs, () => queue.thaw(node.name));
}

function cut(
  world: World,
  link: {
    readonly from: string;
    readonly to: string;
    readonly durationMs: number;
  },
): void {
  const { random, queue } = world;
  const { from, to, durationMs } = link;
  const oneWay = random.pick([{ from, to }, { from: to, to: from }]);
  const both = [{ from, to }, { from: to, to: from }];
  const links = random.chance(0.5) ? both : [oneWay];
  links.forEach((link) => queue.cut(link));
  queue.runAt(queue.nowMs + durationMs, () => {
    links.forEach((link) => queue.heal(link));
  });
}

function isolate(
  world: World,
  node: { readonly name: string; readonly durationMs: number },
): void {
  const { entries, agents } = world.plan;
  const others = [...entries, ...agents.map(({ target }) => target)];
  for (const other of others) {
    if (other === node.name) continue;
    cut(world, { from: node.name, to: other, durationMs: node.durationMs });
  }
}
