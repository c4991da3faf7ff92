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
  type CompletionRequest,
  countAllExecutions,
  countExecutions,
  createCompletionCall,
  readError,
  sleep,
  startSite,
  SteadyLoad,
  waitUntil,
} from "./mod.ts";

const TEST_OPTIONS = { timeout: 60_000 };
const SITE_OPTIONS = {
  entries: 2,
  ranks: 2,
  config: { requestTimeoutMs: 12_000, progressTimeoutMs: 500 },
};
const LOAD_OPTIONS = { callersPerEntry: 3, maxTokens: 100 };
/** Longer than `progressTimeoutMs`. */
const FROZEN_MS = 1_500;
const WORK_MS = 600;

/**
 * Creates a call whose body no other call has: once an agent is lost, a repeated
 * body would be suspected of having crashed it.
 */
function createBookCall(site: Site, reel: string, headers = {}) {
  const path = "/services/parts/reels/book";
  return { key: site.callerKey, path, body: JSON.stringify({ reel }), headers };
}

/** Asserts that the stream is complete, or ends with an error event. */
function assertCompleteOrFailed(
  reply: CallerReply,
  request: CompletionRequest,
): void {
  if (!reply.body.includes("event: error")) {
    return assertCompletion(reply, request);
  }
  assert.match(
    reply.body,
    /event: error\ndata: \{"error":.*"outcome":"failed"/,
  );
}

async function stopAndCheckLoad(load: SteadyLoad): Promise<void> {
  await load.stop();
  for (const { reply, request } of load.records) {
    assert.ok(reply !== undefined);
    assertCompleteOrFailed(reply, request);
  }
}

async function waitForWork(load: SteadyLoad, target: string): Promise<void> {
  const description = `${target} has running streams`;
  await waitUntil(description, () => load.listRunningOn(target).length > 0);
}

test(
  "Streams are completed by another rank when an agent is killed or frozen",
  TEST_OPTIONS,
  async (context) => {
    const site = await startSite(context, SITE_OPTIONS);
    const load = SteadyLoad.start(site, LOAD_OPTIONS);
    await waitForWork(load, "review-0");
    site.agents.get("review-0")?.signal("SIGSTOP");
    const frozenStreams = load.listRunningOn("review-0");
    await waitUntil(
      "the frozen streams end",
      () => frozenStreams.every(({ reply }) => reply !== undefined),
    );
    site.agents.get("review-0")?.signal("SIGCONT");
    await waitForWork(load, "review-0");
    await site.agents.get("review-0")?.stop("SIGKILL");
    const killedStreams = load.listRunningOn("review-0");
    await waitUntil(
      "the streams of the killed agent end",
      () => killedStreams.every(({ reply }) => reply !== undefined),
    );
    await site.startRankAgent(0);
    await waitForWork(load, "review-0");
    await stopAndCheckLoad(load);
    assert.ok(frozenStreams.length > 0);
    for (const { reply, request } of [...frozenStreams, ...killedStreams]) {
      assert.ok(reply !== undefined);
      assertCompletion(reply, request);
    }
  },
);

test(
  "A plain call whose agent is killed runs at most once and its outcome is unknown",
  TEST_OPTIONS,
  async (context) => {
    const site = await startSite(context, SITE_OPTIONS);
    const [url, otherUrl] = [
      site.getEntryUrl("entry-1"),
      site.getEntryUrl("entry-2"),
    ];
    const { ticket } = await fetchTicket(url, site.callerKey);
    const createKeyedCall = (name: string) =>
      createBookCall(site, name, { "idempotency-key": `${ticket}/${name}` });
    const answered = await callEntry(url, createKeyedCall("answered"));
    assert.equal(answered.status, 200, answered.body);
    await site.setFaults(site.plainUrl, { workMs: WORK_MS });
    const running = [
      callEntry(url, createKeyedCall("running")),
      callEntry(url, createBookCall(site, "unkeyed")),
    ];
    await waitUntil(
      "both calls run",
      async () => await countAllExecutions(site.plainUrl) === 3,
    );
    await site.agents.get("parts-0")?.stop("SIGKILL");
    const refusedReply = await callEntry(url, createBookCall(site, "refused"));
    assert.equal(readError(refusedReply)?.outcome, "notRun", refusedReply.body);
    const repeatedAnswered = await callEntry(
      otherUrl,
      createKeyedCall("answered"),
    );
    assert.equal(repeatedAnswered.body, answered.body);

    await site.startPlainAgent("parts-0");
    for (const reply of await Promise.all(running)) {
      assert.equal(readError(reply)?.outcome, "unknown", reply.body);
    }
    const repeatedRunning = await callEntry(
      otherUrl,
      createKeyedCall("running"),
    );
    assert.equal(
      readError(repeatedRunning)?.outcome,
      "unknown",
      repeatedRunning.body,
    );
    await waitUntil(
      "new calls are accepted",
      async () =>
        (await callEntry(url, createBookCall(site, "later"))).status === 200,
    );
    const counts = ["answered", "running"].map((name) =>
      countExecutions(site.plainUrl, `${ticket}/${name}`)
    );
    assert.deepEqual(await Promise.all(counts), [1, 1]);
    assert.equal(await countExecutions(site.plainUrl, ""), 2);
  },
);

test(
  "Plain calls run once and are answered after their agent or service was frozen",
  TEST_OPTIONS,
  async (context) => {
    const site = await startSite(context, SITE_OPTIONS);
    const url = site.getEntryUrl("entry-1");
    const { ticket } = await fetchTicket(url, site.callerKey);
    await site.setFaults(site.plainUrl, { workMs: WORK_MS });
    const processes = [site.agents.get("parts-0"), site.standins.get("plain")];
    for (const [index, frozenProcess] of processes.entries()) {
      const executionsBefore = await countAllExecutions(site.plainUrl);
      const key = `${ticket}/${index}`;
      const keyedCall = createBookCall(site, key, { "idempotency-key": key });
      const running = callEntry(url, createBookCall(site, `unkeyed ${index}`));
      await waitUntil(
        "the call runs",
        async () =>
          await countAllExecutions(site.plainUrl) === executionsBefore + 1,
      );
      frozenProcess?.signal("SIGSTOP");
      const sent = callEntry(url, keyedCall);
      await sleep(FROZEN_MS);
      const repeat = callEntry(site.getEntryUrl("entry-2"), keyedCall);
      frozenProcess?.signal("SIGCONT");
      const replies = await Promise.all([running, sent, repeat]);
      for (const { status, body } of replies) assert.equal(status, 200, body);
      assert.equal(replies[1]?.body, replies[2]?.body);
      assert.equal(
        await countAllExecutions(site.plainUrl),
        executionsBefore + 2,
      );
    }
  },
);

test(
  "Streams continue after a freeze of the whole group, and end when it is killed",
  TEST_OPTIONS,
  async (context) => {
    const site = await startSite(context, SITE_OPTIONS);
    const load = SteadyLoad.start(site, LOAD_OPTIONS);
    await waitForWork(load, "review-0");
    site.standins.get("group")?.signal("SIGSTOP");
    const frozenStreams = [...load.records];
    await sleep(FROZEN_MS);
    site.standins.get("group")?.signal("SIGCONT");
    await waitUntil(
      "the frozen streams end",
      () => frozenStreams.every(({ reply }) => reply !== undefined),
    );
    for (const { reply, request } of frozenStreams) {
      assert.ok(reply !== undefined);
      assertCompletion(reply, request);
    }
    await waitForWork(load, "review-0");
    const cutStreams = load.records.filter(({ target, reply }) =>
      target !== undefined && reply === undefined
    );
    await site.standins.get("group")?.stop("SIGKILL");
    await waitUntil(
      "the cut streams end",
      () => cutStreams.every(({ reply }) => reply !== undefined),
    );
    await load.stop();
    for (const { reply, request } of cutStreams) {
      assert.ok(reply !== undefined);
      assertCompleteOrFailed(reply, request);
    }
    const request = { prompt: "Nobody is there", maxTokens: 4, stream: false };
    const late = await callEntry(
      site.getEntryUrl("entry-1"),
      createCompletionCall(site.callerKey, request),
    );
    assert.ok(["notRun", "failed"].includes(readError(late)?.outcome ?? ""));
  },
);
