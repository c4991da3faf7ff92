/** Which faults a run of the soak `requests` injects, and when. */

import type { MessageFaults } from "@dandelionbank/message-queue";
import type { Site } from "./site.ts";
import { FAULTS_END_MS } from "./settings.ts";
import type { World } from "./world.ts";

const KINDS = [
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

type Kind = typeof KINDS[number];

const MAX_FAULTS = 8;
/** Share of runs in which nothing is injected. */
const QUIET_SHARE = 0.05;

export function planFaults(world: World, site: Site): void {
  const { random, queue } = world;
  if (random.chance(QUIET_SHARE)) return;
  queue.setFaults(drawMessageFaults(world));
  world.slowestPartMs = random.pick([30, 30, 200]);
  world.store.lostAnswerShare = random.chance(0.5) ? 0.1 : 0;
  const count = random.int(0, MAX_FAULTS);
  for (let fault = 0; fault < count; fault++) {
    const kind = random.pick(KINDS);
    const atMs = random.int(100, FAULTS_END_MS);
    queue.runAt(atMs, () => {
      world.fault(kind);
      inject(world, { kind, site });
    });
  }
}

export function drawMessageFaults(world: World): MessageFaults {
  const { random } = world;
  const often = random.chance(0.5);
  return {
    minDelayMs: 1,
    maxDelayMs: random.int(1, 15),
    lossProbability: often ? random.int(0, 6) / 100 : 0,
    duplicateProbability: often ? random.int(0, 6) / 100 : 0,
    reorderProbability: often ? random.int(0, 10) / 100 : 0,
    maxReorderDelayMs: random.int(50, 1_200),
  };
}

function inject(
  world: World,
  fault: { readonly kind: Kind; readonly site: Site },
): void {
  const { random, queue } = world;
  const { kind, site } = fault;
  const entry = random.pick(world.plan.entries);
  const agent = random.pick(world.plan.agents);
  const soonMs = random.chance(0.3) ? random.int(5, 60) : random.int(50, 1_500);
  switch (kind) {
    case "entryKilled":
      return site.killEntry(entry, soonMs);
    case "agentKilled":
      return site.killAgent(agent, soonMs);
    case "agentReplaced":
      return site.replaceAgent(agent, soonMs);
    case "entryFrozen":
      return freeze(world, { name: entry, forMs: soonMs });
    case "agentFrozen":
      return freeze(world, { name: agent.target, forMs: soonMs });
    case "linkCut":
      return cut(world, { from: entry, to: agent.target, forMs: soonMs });
    case "nodeCutOff":
      return cutOff(world, {
        name: random.pick([entry, agent.target]),
        forMs: soonMs,
      });
    case "agentStopped":
      return site.stopAgent(agent, { forMs: soonMs, reason: "plannedStop" });
    case "agentLeaving":
      return site.stopAgent(agent, { forMs: soonMs, reason: "leavingList" });
    case "storeOut":
      world.store.out = true;
      return queue.runAt(queue.nowMs + soonMs, () => {
        world.store.out = false;
      });
    case "clockJumped":
      return jumpClock(world, { entry, agent: agent.target });
  }
}

/** A monotonic clock may jump forward, as after a pause, but not back. */
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
  frozen: { readonly name: string; readonly forMs: number },
): void {
  const { queue } = world;
  queue.freeze(frozen.name);
  queue.runAt(queue.nowMs + frozen.forMs, () => queue.thaw(frozen.name));
}

function cut(
  world: World,
  link: { readonly from: string; readonly to: string; readonly forMs: number },
): void {
  const { random, queue } = world;
  const { from, to, forMs } = link;
  const oneWay = random.pick([{ from, to }, { from: to, to: from }]);
  const both = [{ from, to }, { from: to, to: from }];
  const links = random.chance(0.5) ? both : [oneWay];
  links.forEach((each) => queue.cut(each));
  queue.runAt(queue.nowMs + forMs, () => {
    links.forEach((each) => queue.heal(each));
  });
}

function cutOff(
  world: World,
  node: { readonly name: string; readonly forMs: number },
): void {
  const { entries, agents } = world.plan;
  const others = [...entries, ...agents.map(({ target }) => target)];
  for (const other of others) {
    if (other === node.name) continue;
    cut(world, { from: node.name, to: other, forMs: node.forMs });
  }
}
