import {
  callEntry,
  type CallerReply,
  fetchTicket,
  type Site,
} from "@dandelionbank/run-site";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  assertCompletion,
  completionCall,
  type CompletionWish,
  countAllExecutions,
  countExecutions,
  readError,
  sleep,
  startSite,
  SteadyLoad,
  waitUntil,
} from "./mod.ts";

const LIMITS = { timeout: 60_000 };
const OPTIONS = {
  entries: 2,
  ranks: 2,
  config: { requestTimeoutMs: 12_000, progressTimeoutMs: 500 },
};
const LOAD = { callersPerEntry: 3, maxTokens: 100 };
const FROZEN_MS = 1_500;
const WORK_MS = 600;

/** Each call books another reel, as a repeated body would be suspected. */
function bookCall(site: Site, reel: string, headers = {}) {
  const path = "/services/parts/reels/book";
  return { key: site.callerKey, path, body: JSON.stringify({ reel }), headers };
}

/** Whole and right, or ended by an error that says so. */
function assertTruthful(reply: CallerReply, wish: CompletionWish): void {
  if (!reply.body.includes("event: error")) {
    return assertCompletion(reply, wish);
  }
  assert.match(
    reply.body,
    /event: error\ndata: \{"error":.*"outcome":"failed"/,
  );
}

async function endLoad(load: SteadyLoad): Promise<void> {
  await load.stop();
  for (const { reply, wish } of load.records) {
    assert.ok(reply !== undefined);
    assertTruthful(reply, wish);
  }
}

async function waitForWork(load: SteadyLoad, target: string): Promise<void> {
  const what = `${target} streams`;
  await waitUntil(what, () => load.listRunningOn(target).length > 0);
}

test(
  "Streams go on elsewhere when an agent is killed or frozen",
  LIMITS,
  async (context) => {
    const site = await startSite(context, OPTIONS);
    const load = SteadyLoad.start(site, LOAD);
    await waitForWork(load, "review-0");
    site.agents.get("review-0")?.signal("SIGSTOP");
    const frozen = load.listRunningOn("review-0");
    await waitUntil(
      "the frozen streams end",
      () => frozen.every(({ reply }) => reply !== undefined),
    );
    site.agents.get("review-0")?.signal("SIGCONT");
    await waitForWork(load, "review-0");
    await site.agents.get("review-0")?.stop("SIGKILL");
    const killed = load.listRunningOn("review-0");
    await waitUntil(
      "the killed streams end",
      () => killed.every(({ reply }) => reply !== undefined),
    );
    await site.startRankAgent(0);
    await waitForWork(load, "review-0");
    await endLoad(load);
    assert.ok(frozen.length > 0);
    for (const { reply, wish } of [...frozen, ...killed]) {
      assert.ok(reply !== undefined);
      assertCompletion(reply, wish);
    }
  },
);

test(
  "A plain call whose agent is killed runs once at most, and is told so",
  LIMITS,
  async (context) => {
    const site = await startSite(context, OPTIONS);
    const [url, otherUrl] = [
      site.getEntryUrl("entry-1"),
      site.getEntryUrl("entry-2"),
    ];
    const { ticket } = await fetchTicket(url, site.callerKey);
    const keyed = (name: string) =>
      bookCall(site, name, { "idempotency-key": `${ticket}/${name}` });
    const answered = await callEntry(url, keyed("answered"));
    assert.equal(answered.status, 200, answered.body);
    await site.setFaults(site.plainUrl, { workMs: WORK_MS });
    const running = [
      callEntry(url, keyed("running")),
      callEntry(url, bookCall(site, "unkeyed")),
    ];
    await waitUntil(
      "both calls run",
      async () => await countAllExecutions(site.plainUrl) === 3,
    );
    await site.agents.get("parts-0")?.stop("SIGKILL");
    const refused = await callEntry(url, bookCall(site, "refused"));
    assert.equal(readError(refused)?.outcome, "notRun", refused.body);
    const repeated = await callEntry(otherUrl, keyed("answered"));
    assert.equal(repeated.body, answered.body);

    await site.startPlainAgent("parts-0");
    for (const reply of await Promise.all(running)) {
      assert.equal(readError(reply)?.outcome, "unknown", reply.body);
    }
    const asked = await callEntry(otherUrl, keyed("running"));
    assert.equal(readError(asked)?.outcome, "unknown", asked.body);
    await waitUntil(
      "new calls are taken",
      async () =>
        (await callEntry(url, bookCall(site, "later"))).status === 200,
    );
    const counts = ["answered", "running"].map((name) =>
      countExecutions(site.plainUrl, `${ticket}/${name}`)
    );
    assert.deepEqual(await Promise.all(counts), [1, 1]);
    assert.equal(await countExecutions(site.plainUrl, ""), 2);
  },
);

test(
  "Plain calls are answered once when agent or service wake up",
  LIMITS,
  async (context) => {
    const site = await startSite(context, OPTIONS);
    const url = site.getEntryUrl("entry-1");
    const { ticket } = await fetchTicket(url, site.callerKey);
    await site.setFaults(site.plainUrl, { workMs: WORK_MS });
    const parts = [site.agents.get("parts-0"), site.standins.get("plain")];
    for (const [index, part] of parts.entries()) {
      const ranBefore = await countAllExecutions(site.plainUrl);
      const key = `${ticket}/${index}`;
      const keyed = bookCall(site, key, { "idempotency-key": key });
      const running = callEntry(url, bookCall(site, `unkeyed ${index}`));
      await waitUntil(
        "the call runs",
        async () => await countAllExecutions(site.plainUrl) === ranBefore + 1,
      );
      part?.signal("SIGSTOP");
      const sent = callEntry(url, keyed);
      await sleep(FROZEN_MS);
      const repeat = callEntry(site.getEntryUrl("entry-2"), keyed);
      part?.signal("SIGCONT");
      const replies = await Promise.all([running, sent, repeat]);
      for (const { status, body } of replies) assert.equal(status, 200, body);
      assert.equal(replies[1]?.body, replies[2]?.body);
      assert.equal(await countAllExecutions(site.plainUrl), ranBefore + 2);
    }
  },
);

test(
  "Streams end with an error when the whole group is killed",
  LIMITS,
  async (context) => {
    const site = await startSite(context, OPTIONS);
    const load = SteadyLoad.start(site, LOAD);
    await waitForWork(load, "review-0");
    site.standins.get("group")?.signal("SIGSTOP");
    const frozen = [...load.records];
    await sleep(FROZEN_MS);
    site.standins.get("group")?.signal("SIGCONT");
    await waitUntil(
      "the frozen streams end",
      () => frozen.every(({ reply }) => reply !== undefined),
    );
    for (const { reply, wish } of frozen) {
      assert.ok(reply !== undefined);
      assertCompletion(reply, wish);
    }
    await waitForWork(load, "review-0");
    const begun = load.records.filter(({ target, reply }) =>
      target !== undefined && reply === undefined
    );
    await site.standins.get("group")?.stop("SIGKILL");
    await waitUntil(
      "the cut streams end",
      () => begun.every(({ reply }) => reply !== undefined),
    );
    await load.stop();
    for (const { reply, wish } of begun) {
      assert.ok(reply !== undefined);
      assertTruthful(reply, wish);
    }
    const wish = { prompt: "Nobody is there", maxTokens: 4, stream: false };
    const late = await callEntry(
      site.getEntryUrl("entry-1"),
      completionCall(site.callerKey, wish),
    );
    assert.ok(["notRun", "failed"].includes(readError(late)?.outcome ?? ""));
  },
);
