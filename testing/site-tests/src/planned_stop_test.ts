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

const TEST_OPTIONS = { timeout: 60_000 };
const LOAD_OPTIONS = { callersPerEntry: 6, maxTokens: 100 };
/** Maximum time from the acceptance of a stop until the target gets no new work. */
const STOP_BOUND_MS = 3_000;
/** Time after the bound in which new work would be noticed. */
const OBSERVATION_MS = 800;

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
  /** Faults of the store that are set just before the stop is requested. */
  readonly faultsBefore?: object;
  /** Faults of the store that are set right after the stop was accepted. */
  readonly faultsAfter?: object;
}

/**
 * Plans a stop and asserts that the target gets no new work after the bound, and
 * completes what it has.
 */
async function stopUnderLoad(
  site: Site,
  load: SteadyLoad,
  { rank, faultsBefore = {}, faultsAfter = {} }: StopCase,
): Promise<void> {
  const target = `review-${rank}`;
  const peerUrl = (await readAgents(site)).get(target)?.peerUrl ?? "";
  const rankUrl = site.groupUrls[rank] ?? "";
  await waitUntil(
    `${target} has running streams`,
    () => load.listRunningOn(target).length > 0,
  );
  await site.setFaults(site.platformUrl, faultsBefore);
  const command = ["stop", "set", target, "--reason=new kernel"];
  const planned = await site.runTool(command);
  const acceptedAtMs = performance.now();
  await site.setFaults(site.platformUrl, faultsAfter);
  assert.equal(planned.exitCode, 0, planned.lines.join("\n"));
  await sleep(STOP_BOUND_MS);
  const executionsAtBound = await countAllExecutions(rankUrl);
  await sleep(OBSERVATION_MS);
  const { isDraining, load: { inFlight } } = await readStatusAt(site, peerUrl);
  assert.deepEqual({ isDraining, inFlight }, { isDraining: true, inFlight: 0 });
  assert.equal(await countAllExecutions(rankUrl), executionsAtBound);
  const startedLate = load.listStartedAfter(acceptedAtMs + STOP_BOUND_MS);
  assert.ok(startedLate.length > 0);
  assert.ok(startedLate.every((record) => record.target !== target));
}

async function stopAndCheckLoad(load: SteadyLoad): Promise<void> {
  await load.stop();
  for (const { reply, request } of load.records) {
    assert.ok(reply !== undefined);
    assertCompletion(reply, request);
  }
}

test(
  "Planned stops under load interrupt nothing and take effect in time, also in a store outage",
  TEST_OPTIONS,
  async (context) => {
    const site = await startSite(context, { entries: 2, ranks: 3 });
    const load = SteadyLoad.start(site, LOAD_OPTIONS);
    await stopUnderLoad(site, load, { rank: 1 });
    await stopUnderLoad(site, load, { rank: 2, faultsAfter: { outage: true } });
    await stopAndCheckLoad(load);
  },
);

test(
  "A planned stop takes effect in time when the store's connections freeze",
  TEST_OPTIONS,
  async (context) => {
    const site = await startSite(context, { entries: 2, ranks: 2 });
    const load = SteadyLoad.start(site, LOAD_OPTIONS);
    const faultsBefore = { freezeConnections: true };
    await stopUnderLoad(site, load, { rank: 1, faultsBefore });
    await stopAndCheckLoad(load);
  },
);

test(
  "Of two operators who plan the same stop at once, one gets a conflict with both values",
  TEST_OPTIONS,
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
    const conflictText = results[codes.indexOf(1)]?.lines.join("\n") ?? "";
    assert.match(
      conflictText,
      new RegExp(`Yours[^]*${yours}[^]*Current[^]*${current}`),
    );
    await waitUntil(
      "the agent drains",
      async () => (await readStatus(site, "review-0")).isDraining,
    );
    const cancelled = await site.runTool(["stop", "delete", "review-0"]);
    assert.equal(cancelled.exitCode, 0, cancelled.lines.join("\n"));
    await waitUntil(
      "the agent accepts work again",
      async () => !(await readStatus(site, "review-0")).isDraining,
    );
  },
);
