/**
 * While the group's coordinator switches the expert map, the machine of the rank
 * that holds the pass freezes, agent and engine. The coordinator cancels the hold,
 * without an answer, and is killed. When the machine wakes, its agent carries out
 * the order to release the pass, while the next coordinator arms the ranks for it.
 */

import { setTimeout as delay } from "node:timers/promises";
import { Group } from "../lib/group.mjs";
import {
  findFreePort,
  HAS_TROUBLE,
  Program,
  runCase,
  Store,
} from "../lib/site.mjs";

const SHAPE = { size: 8, sets: 4, experts: 64 };
const SERVICE = "huvo11a";
/**
 * From the hold, at which the machine freezes, until the coordinator is killed. It
 * has cancelled the hold by then.
 */
const KILL_AFTER_MS = 700;
/** From the next coordinator's call of the frozen engine until it wakes. */
const WAKE_AFTER_MS = 100;
/**
 * An agent of a higher rank waits longer before it becomes coordinator by itself,
 * so it still follows the killed one when it wakes.
 */
const HOLDER_ABOVE_COORDINATOR = 4;
const DEMAND_SHIFT_MS = 400;
const WAIT_LIMIT_MS = 60_000;
/** The orders race when the machine wakes, so the case is played up to 5 times. */
const TURNS = HAS_TROUBLE ? 5 : 1;
const TURNS_END_MS = 75_000;
const RECORDED_PASSES = 20;

const CONFIGURATION = {
  version: 7,
  routes: [],
  services: [{
    name: SERVICE,
    "health_path": "/healthz",
    "max_conns": 408,
    "engine_profile": {
      slots: 8,
      "link_mbps": 180_000,
      stride: 4,
      "step_ms": 4.55,
      "per_seq_ms": 1.3575,
      "read_per_s": 61_400,
      usual: { prompt: 835, answer: 97 },
      "layer_sets": SHAPE.sets,
      experts: SHAPE.experts,
      placements: 12,
      reserve: 2,
      "expert_mb": 2_500,
      "expert_ratio": 0.85,
      "form_ms": 600,
    },
  }],
  tenants: [],
};

await runCase(new URL(".", import.meta.url), async ({ recorder, own }) => {
  const store = own(await Store.start());
  store.put("config", "main", CONFIGURATION);
  const group = own(await Group.start(SHAPE));
  const broken = [];
  group.onMixedPass = (step) => {
    broken.push(`pass ${step} began with the maps ${group.describeMaps()}`);
    if (broken.length <= RECORDED_PASSES) recorder.write(broken.at(-1));
  };
  const agents = await startAgents({ group, store, own });
  await waitFor(
    () => group.ranks.every(({ mapVersion }) => mapVersion > 0),
    "first switch",
  );
  recorder.write(`first map: ${group.describeMaps()}`);

  for (let turn = 1; turn <= TURNS && broken.length === 0; turn++) {
    if (recorder.nowMs > TURNS_END_MS) break;
    recorder.write(`turn ${turn}`);
    await playTurn({ group, agents, recorder });
  }
  return broken;
});

async function playTurn({ group, agents, recorder }) {
  const leader = findLeader(agents);
  let holder;
  group.onOrder = ({ rank, order, status }) => {
    const { operation, version = "", step = "" } = order;
    if (operation === "prepare") return;
    recorder.write(
      `rank ${rank}: ${operation} ${version} step ${step}: ${status}`,
    );
    const isHold = operation === "retention" && status === 202;
    if (!isHold || holder !== undefined) return;
    if (rank < leader + HOLDER_ABOVE_COORDINATOR) return;
    holder = rank;
    if (!HAS_TROUBLE) return;
    agents[holder].signal("SIGSTOP");
    group.freeze(holder);
    recorder.write(`the machine of rank ${holder} freezes`);
  };
  const shifts = setInterval(() => {
    group.hot = (group.hot + 11) % SHAPE.experts;
  }, DEMAND_SHIFT_MS);
  await waitFor(() => holder !== undefined, "hold");
  clearInterval(shifts);
  if (HAS_TROUBLE) {
    const frozenAtMs = performance.now();
    await delay(KILL_AFTER_MS);
    await agents[leader].kill();
    recorder.write(`the coordinator, the agent of rank ${leader}, is killed`);
    // A call that the killed coordinator left ends with its connection.
    await delay(500);
    await waitFor(
      () => group.countWaiting(holder) > 0,
      "call of the next coordinator",
    );
    await delay(WAKE_AFTER_MS);
    agents[holder].signal("SIGCONT");
    group.wake(holder);
    const frozenMs = Math.round(performance.now() - frozenAtMs);
    recorder.write(`the machine of rank ${holder} wakes after ${frozenMs} ms`);
    await delay(500);
    await agents[leader].start("rank");
  }
  await delay(3_000);
  recorder.write(`maps: ${group.describeMaps()}`);
}

async function startAgents({ group, store, own }) {
  const peerPort = await findFreePort(group.ranks[0].ip);
  const agents = [];
  for (const { rank, ip, address } of group.ranks) {
    store.put("servers", `i-${rank}`, {
      service: SERVICE,
      address,
      zone: "kochi-a",
      version: "v1",
      slots: 8,
      state: "ready",
      "cold_left_ms": 0,
      sequence: 0,
      born: Date.now(),
    });
    const machine = { store, ip, app: address, peerPort, service: SERVICE };
    agents.push(own(await Program.startRank(rank, machine)));
  }
  return agents;
}

async function waitFor(isTrue, what) {
  const endMs = performance.now() + WAIT_LIMIT_MS;
  while (!isTrue()) {
    if (performance.now() > endMs) throw new Error(`no ${what}`);
    await delay(2);
  }
}

/** The rank whose agent became coordinator in the highest term. */
function findLeader(agents) {
  const terms = agents.map((agent) => {
    const [started] = agent.listLogged("coordinatorStarted").slice(-1);
    return started?.fields.term ?? -1;
  });
  return terms.indexOf(Math.max(...terms));
}
