import type { Logger } from "@dandelionbank/log-events";
import { RankProcess } from "@dandelionbank/serve-rank";
import {
  SiteGroup,
  type SiteGroupOptions,
  SiteStore,
} from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  createBootSettings,
  findFreePort,
  type LoggedLine,
  waitFor,
} from "@dandelionbank/run-entry";

const SHAPE = { ranks: 3, sets: 2, expertsPerSet: 6 };
/** Enough ranks for the coordinator to reach them through relays. */
const LARGE_SHAPE = { ranks: 20, sets: 2, expertsPerSet: 40 };

test("A group gets its first map, and a new map when demand shifts to another expert", async (t) => {
  const { group } = await startGroup(t);
  await waitFor(() => group.model.mapVersion > 0);
  const firstVersion = group.model.mapVersion;
  group.hotExpert = 3;
  await waitFor(() => group.model.mapVersion > firstVersion);
});

test("Unanswered, lost and late orders only delay a switch", async (t) => {
  const { group } = await startGroup(t);
  const deliveries = [
    "late",
    "answered",
    "unanswered",
    "answered",
    "lost",
  ] as const;
  let count = 0;
  group.chooseDelivery = () => deliveries[count++ % deliveries.length]!;
  await waitFor(() => group.model.mapVersion > 0);
  group.chooseDelivery = () => "answered";
  await waitFor(() => !group.model.hasAnyHold);
});

// Guards against agents that end, one coordinator after another, when a
// registration by another writer has an address that cannot be used.
test("A registration with an unusable address ends no agent", async (t) => {
  const { group, store } = await startGroup(t);
  store.put("servers", "other", {
    service: "s",
    address: "127.300.0.7:8000",
    zone: "a",
    slots: 8,
    state: "ready",
  });
  await waitFor(() => group.model.mapVersion > 0);
});

// Guards against agents that end by a request target that is no URL.
test("A request target that is no URL ends no agent", async (t) => {
  const { group, peerPort } = await startGroup(t);
  const socket = connect(peerPort, group.host(0));
  socket.end("GET // HTTP/1.1\r\nhost: a\r\n\r\n");
  const [head] = await once(socket, "data");
  assert.match(String(head), /^HTTP\/1\.1 [45]\d\d /);
  await waitFor(() => group.model.mapVersion > 0);
});

test("When the coordinator stops, another agent becomes coordinator", async (t) => {
  const { group, agents, lines } = await startGroup(t);
  await waitFor(() => group.model.mapVersion > 0);
  const coordinator = findCoordinator(lines);
  await agents[coordinator]!.stop();
  await waitFor(() => findCoordinator(lines) !== coordinator);
  const successor = findCoordinator(lines);
  assert.notEqual(successor, coordinator);
});

test("A pass that a stopped coordinator put on hold is released", async (t) => {
  const { group, agents, lines, startAgent } = await startGroup(t);
  group.chooseDelivery = (order) => order.kind === "arm" ? "lost" : "answered";
  await waitFor(() => group.model.hasAnyHold);
  const coordinator = findCoordinator(lines);
  await agents[coordinator]!.stop();
  group.chooseDelivery = () => "answered";
  await waitFor(() => !group.model.hasAnyHold);
  const { step } = group.model;
  await waitFor(() => group.model.step > step + 3);
  await startAgent(coordinator);
  await waitFor(() => group.model.mapVersion > 0);
});

test("A pass that a frozen coordinator put on hold is released", async (t) => {
  const site = await startGroup(t);
  const { group, lines } = site;
  group.chooseDelivery = (order) => order.kind === "arm" ? "lost" : "answered";
  await waitFor(() => group.model.hasAnyHold);
  const coordinator = findCoordinator(lines);
  const endFreeze = await freezeAgent(t, site, coordinator);
  group.chooseDelivery = () => "answered";
  await waitFor(() => !group.model.hasAnyHold);
  const { step } = group.model;
  await waitFor(() => group.model.step > step + 3);
  endFreeze();
  await site.startAgent(coordinator);
  await waitFor(() => group.model.mapVersion > 0);
});

test("Each group of a service gets maps from a coordinator of its own", async (t) => {
  const { groups: [first, second] } = await startGroups(t, [
    { ...SHAPE, name: "g0" },
    { ...SHAPE, name: "g1", firstHost: 51 },
  ]);
  await waitFor(() => first!.model.mapVersion > 0);
  await waitFor(() => second!.model.mapVersion > 0);
  const before = second!.model.mapVersion;
  second!.hotExpert = 3;
  await waitFor(() => second!.model.mapVersion > before);
});

test("A group that forms again at map version 0 gets a new map", async (t) => {
  const { group } = await startGroup(t);
  await waitFor(() => group.model.mapVersion > 0);
  group.model.reform();
  assert.equal(group.model.mapVersion, 0);
  await waitFor(() => group.model.mapVersion > 0);
});

test("A large group is switched by relays, again and again", async (t) => {
  const { group, lines } = await startGroup(t, LARGE_SHAPE);
  for (const hotExpert of [3, 17, 30]) {
    group.hotExpert = hotExpert;
    const before = group.model.mapVersion;
    await waitFor(() => group.model.mapVersion > before);
  }
  const names = new Set(lines.flat().map(({ name }) => name));
  assert.ok(!names.has("ranksReadPast"), "every agent was reached");
});

test("A switch completes although relays freeze while a pass is on hold", async (t) => {
  const site = await startGroup(t, LARGE_SHAPE);
  const { group, lines } = site;
  await waitFor(() => group.model.mapVersion > 0);
  const coordinator = findCoordinator(lines);
  let isFrozen = false;
  group.chooseDelivery = ({ kind }) => {
    if (kind === "hold" && !isFrozen) {
      isFrozen = true;
      for (let rank = 0; rank < LARGE_SHAPE.ranks; rank++) {
        // Freezes three of four agents, so that every relay is among them.
        if (rank !== coordinator && rank % 4 !== 3) {
          void freezeAgent(t, site, rank);
        }
      }
    }
    return "answered";
  };
  const before = group.model.mapVersion;
  group.hotExpert = 30;
  await waitFor(() => isFrozen);
  await waitFor(() => group.model.mapVersion > before);
  await waitFor(() => !group.model.hasAnyHold);
  assert.equal(findCoordinator(lines), coordinator);
});

test("A pass on hold is released if an agent freezes before any rank is armed", async (t) => {
  const site = await startGroup(t);
  const { group, lines } = site;
  await waitFor(() => group.model.mapVersion > 0);
  const frozen = findCoordinator(lines) === 2 ? 1 : 2;
  let isFrozen = false;
  group.chooseDelivery = ({ kind }) => {
    if (kind === "hold" && !isFrozen) {
      isFrozen = true;
      void freezeAgent(t, site, frozen);
    }
    return "answered";
  };
  const before = group.model.mapVersion;
  group.hotExpert = 3;
  await waitFor(() => isFrozen);
  await waitFor(() => !group.model.hasAnyHold);
  const { step } = group.model;
  await waitFor(() => group.model.step > step + 3);
  assert.equal(group.model.mapVersion, before);
});

/**
 * Replaces an agent by a server that accepts connections and never answers;
 * returns a function that closes it.
 */
async function freezeAgent(
  t: TestContext,
  { group, agents, peerPort }: Awaited<ReturnType<typeof startGroup>>,
  rank: number,
): Promise<() => void> {
  await agents[rank]!.stop();
  const sockets: Socket[] = [];
  const unresponsive = createServer((socket) => {
    sockets.push(socket);
    // Callers reset the connection of a call that times out.
    socket.on("error", () => {});
  }).listen(peerPort, group.host(rank));
  t.after(() => unresponsive.close());
  return () => {
    unresponsive.close();
    sockets.forEach((socket) => socket.destroy());
  };
}

/** Returns the rank whose agent started coordinating in the highest term, or -1. */
function findCoordinator(lines: readonly LoggedLine[][]): number {
  let coordinator = -1;
  let term = -1;
  lines.forEach((agentLines, index) => {
    for (const { name, fields } of agentLines) {
      if (name !== "coordinatorStarted") continue;
      if (Number(fields["term"]) <= term) continue;
      term = Number(fields["term"]);
      coordinator = index;
    }
  });
  return coordinator;
}

async function startGroup(t: TestContext, shape: SiteGroupOptions = SHAPE) {
  const { groups, ...site } = await startGroups(t, [shape]);
  return { ...site, group: groups[0]! };
}

/** Starts groups of the same shape that belong to one service. */
async function startGroups(
  t: TestContext,
  shapes: readonly SiteGroupOptions[],
) {
  const [store, groups, peerPort] = await Promise.all([
    SiteStore.create(),
    Promise.all(shapes.map((shape) => SiteGroup.create(shape))),
    findFreePort(),
  ]);
  store.put("config", "main", createConfiguration(shapes[0]!));
  const ranks = groups.flatMap((group, index) =>
    Array.from({ length: shapes[index]!.ranks }, (_, rank) => ({ group, rank }))
  );
  for (const [index, { group, rank }] of ranks.entries()) {
    store.put("servers", `r${index}`, {
      service: "s",
      address: group.address(rank),
      zone: "a",
      slots: 8,
      state: "ready",
    });
  }
  const lines: LoggedLine[][] = [];
  const agents: RankProcess[] = [];
  const startAgent = async (index: number) => {
    const { group, rank } = ranks[index]!;
    const agentLines = lines[index] ??= [];
    const logger: Logger = {
      log: (name, fields) => void agentLines.push({ name, fields }),
    };
    const settings = createBootSettings({
      "node_name": `side-${index}`,
      ip: group.host(rank),
      "port_range": `${peerPort},${peerPort}`,
      app: group.address(rank),
      service: "s",
      "platform.address": store.address,
    });
    const agent = RankProcess.create({ settings, logger });
    agents[index] = agent;
    await agent.start();
  };
  for (const index of ranks.keys()) await startAgent(index);
  t.after(async () => {
    await Promise.all(agents.map((agent) => agent.stop()));
    await delay(300);
    await Promise.all(groups.map((group) => group.close()));
    await store.close();
  });
  return { store, groups, agents, lines, peerPort, startAgent };
}

function createConfiguration({ sets, expertsPerSet }: SiteGroupOptions) {
  return {
    version: 1,
    routes: [],
    services: [{
      name: "s",
      "engine_profile": {
        slots: 8,
        "layer_sets": sets,
        experts: expertsPerSet,
        placements: 3,
        reserve: 1,
        "expert_mb": 1,
        "expert_ratio": 0.85,
        "link_mbps": 1_000,
      },
    }],
  };
}
