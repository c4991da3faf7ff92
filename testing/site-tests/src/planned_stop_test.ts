import { callEntry, type Site } from "@dandelionbank/run-site";
import type { AgentStatus } from "@dandelionbank/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  assertCompletion,
  countAllExecutions,
  readAgents,
  sleep,
  startSite,
  SteadyLoad,
  waitUntil,
} from "./mod.ts";

const LIMITS = { timeout: 60_000 };
const LOAD = { callersPerEntry: 6, maxTokens: 100 };
/** Longest time from the acceptance of a stop to the last new work. */
const STOP_BOUND_MS = 3_000;
const SOME_TIME_MS = 800;

async function readStatus(site: Site, target: string): Promise<AgentStatus> {
  const peerUrl = (await readAgents(site)).get(target)?.peerUrl ?? "";
  return await readStatusAt(site, peerUrl);
}

async function readStatusAt(site: Site, peerUrl: string): Promise<AgentStatus> {
  const call = { key: site.peerSecret, path: "/trpc/readStatus" };
  const { body } = await callEntry(peerUrl, call);
  const { result } = JSON.parse(body) as {
    readonly result: { readonly data: AgentStatus };
  };
  return result.data;
}

interface StopCase {
  readonly rank: number;
  /** Faults of the store just before the stop is planned. */
  readonly before?: object;
  /** Faults of the store right after the stop was accepted. */
  readonly after?: object;
}

/** No new work later than the bound, and the target ends what it has. */
async function stopUnderLoad(
  site: Site,
  load: SteadyLoad,
  { rank, before = {}, after = {} }: StopCase,
): Promise<void> {
  const target = `review-${rank}`;
  const peerUrl = (await readAgents(site)).get(target)?.peerUrl ?? "";
  const rankUrl = site.groupUrls[rank] ?? "";
  await waitUntil(
    `${target} has work`,
    () => load.listRunningOn(target).length > 0,
  );
  await site.setFaults(site.platformUrl, before);
  const command = ["stop", "set", target, "--reason=new kernel"];
  const planned = await site.runTool(command);
  const acceptedAtMs = performance.now();
  await site.setFaults(site.platformUrl, after);
  assert.equal(planned.exitCode, 0, planned.lines.join("\n"));
  await sleep(STOP_BOUND_MS);
  const ranInTime = await countAllExecutions(rankUrl);
  await sleep(SOME_TIME_MS);
  const { isDraining, load: { inFlight } } = await readStatusAt(site, peerUrl);
  assert.deepEqual({ isDraining, inFlight }, { isDraining: true, inFlight: 0 });
  assert.equal(await countAllExecutions(rankUrl), ranInTime);
  const late = load.listStartedAfter(acceptedAtMs + STOP_BOUND_MS);
  assert.ok(late.length > 0);
  assert.ok(late.every((record) => record.target !== target));
}

async function endLoad(load: SteadyLoad): Promise<void> {
  await load.stop();
  for (const { reply, wish } of load.records) {
    assert.ok(reply !== undefined);
    assertCompletion(reply, wish);
  }
}

test(
  "Planned stops under load cut nothing and are kept in time, the store out too",
  LIMITS,
  async (context) => {
    const site = await startSite(context, { entries: 2, ranks: 3 });
    const load = SteadyLoad.start(site, LOAD);
    await stopUnderLoad(site, load, { rank: 1 });
    await stopUnderLoad(site, load, { rank: 2, after: { outage: true } });
    await endLoad(load);
  },
);

test(
  "A planned stop is kept in time when the store's connections fall silent",
  LIMITS,
  async (context) => {
    const site = await startSite(context, { entries: 2, ranks: 2 });
    const load = SteadyLoad.start(site, LOAD);
    const before = { freezeConnections: true };
    await stopUnderLoad(site, load, { rank: 1, before });
    await endLoad(load);
  },
);

test(
  "Of two operators who race for a stop, one sees both sides",
  LIMITS,
  async (context) => {
    const site = await startSite(context, { entries: 2, ranks: 1 });
    const command = ["stop", "set", "review-0", "--revision=new"];
    const results = await Promise.all([
      site.runTool([...command, "--reason=new kernel"], "entry-1"),
      site.runTool([...command, "--reason=worn fan"], "entry-2"),
    ]);
    const codes = results.map(({ exitCode }) => exitCode);
    assert.deepEqual([...codes].sort(), [0, 1]);
    const [yours, current] = codes[0] === 1
      ? ["new kernel", "worn fan"]
      : ["worn fan", "new kernel"];
    const lost = results[codes.indexOf(1)]?.lines.join("\n") ?? "";
    assert.match(
      lost,
      new RegExp(`Yours[^]*${yours}[^]*Current[^]*${current}`),
    );
    await waitUntil(
      "the agent drains",
      async () => (await readStatus(site, "review-0")).isDraining,
    );
    const withdrawn = await site.runTool(["stop", "delete", "review-0"]);
    assert.equal(withdrawn.exitCode, 0, withdrawn.lines.join("\n"));
    await waitUntil(
      "the agent takes work again",
      async () => !(await readStatus(site, "review-0")).isDraining,
    );
  },
);
