import { callEntry, fetchTicket, type Site } from "@dandelionbank/run-site";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  assertCompletion,
  type CompletionRequest,
  countExecutions,
  createCompletionCall,
  readError,
  retryWhileNotRun,
  startSite,
  waitUntil,
} from "./mod.ts";

const SITE_OPTIONS = { entries: 2, ranks: 2 };
const TEST_OPTIONS = { timeout: 60_000 };

function createCompletionRequest(
  name: string,
  maxTokens: number,
): CompletionRequest {
  return { prompt: `Letter ${name}`, maxTokens, stream: true };
}

function createBookCall(site: Site, requestKey: string) {
  return {
    key: site.callerKey,
    path: "/services/parts/reels/book",
    body: JSON.stringify({ gauge: 7 }),
    headers: { "idempotency-key": requestKey },
  };
}

async function killEntry(site: Site, name: string): Promise<void> {
  await site.entries.get(name)?.stop("SIGKILL");
}

test(
  "Callers of an entry that is killed mid-stream are served by the other entry",
  TEST_OPTIONS,
  async (context) => {
    const site = await startSite(context, SITE_OPTIONS);
    const { callerKey: key } = site;
    const startedStreams = new Set<number>();
    const cutReplies = [1, 2, 3, 4].map((number) =>
      callEntry(site.getEntryUrl("entry-1"), {
        ...createCompletionCall(
          key,
          createCompletionRequest(`${number}`, 1_000),
        ),
        onData: () => startedStreams.add(number),
      })
    );
    const otherReplies = [5, 6, 7].map((number) =>
      callEntry(
        site.getEntryUrl("entry-2"),
        createCompletionCall(key, createCompletionRequest(`${number}`, 200)),
      )
    );
    await waitUntil(
      "every stream has started",
      () => startedStreams.size === cutReplies.length,
    );
    await killEntry(site, "entry-1");
    for (const reply of await Promise.all(cutReplies)) {
      assert.ok(!reply.isComplete);
    }

    const url = site.getEntryUrl("entry-2");
    const { addresses } = await fetchTicket(url, key);
    assert.equal(addresses[0], url);
    const retried = await Promise.all([1, 2, 3, 4].map(async (number) => {
      const { ticket } = await fetchTicket(url, key);
      const call = createCompletionCall(
        key,
        createCompletionRequest(`${number}`, 40),
      );
      const headers = { "idempotency-key": `${ticket}/${number}` };
      return await retryWhileNotRun(url, { ...call, headers });
    }));
    retried.forEach((reply, index) =>
      assertCompletion(reply, createCompletionRequest(`${index + 1}`, 40))
    );
    (await Promise.all(otherReplies)).forEach((reply, index) =>
      assertCompletion(reply, createCompletionRequest(`${index + 5}`, 200))
    );
    await waitUntil(
      "the killed entry is no longer listed",
      async () => (await fetchTicket(url, key)).addresses.length === 1,
    );
  },
);

test(
  "Keys of a killed entry are taken over by the other entry, and none runs twice",
  TEST_OPTIONS,
  async (context) => {
    const site = await startSite(context, SITE_OPTIONS);
    const { callerKey: key } = site;
    const { ticket } = await fetchTicket(site.getEntryUrl("entry-1"), key);
    const answeredKey = `${ticket}/answered`;
    const first = await callEntry(
      site.getEntryUrl("entry-1"),
      createBookCall(site, answeredKey),
    );
    assert.equal(first.status, 200, first.body);
    await site.setFaults(site.plainUrl, { workMs: 1_000 });
    const runningKey = `${ticket}/running`;
    const running = callEntry(
      site.getEntryUrl("entry-1"),
      createBookCall(site, runningKey),
    )
      .then(() => "answered", () => "cut");
    await waitUntil(
      "the call runs",
      async () => await countExecutions(site.plainUrl, runningKey) === 1,
    );
    await killEntry(site, "entry-1");
    assert.equal(await running, "cut");

    const url = site.getEntryUrl("entry-2");
    const request = { prompt: "Index card 12", maxTokens: 20, stream: false };
    const [answered, joined, fresh, completed] = await Promise.all([
      retryWhileNotRun(url, createBookCall(site, answeredKey)),
      retryWhileNotRun(url, createBookCall(site, runningKey)),
      retryWhileNotRun(url, createBookCall(site, `${ticket}/fresh`)),
      retryWhileNotRun(url, {
        ...createCompletionCall(key, request),
        headers: { "idempotency-key": `${ticket}/completion` },
      }),
    ]);
    assertCompletion(completed, request);
    for (const reply of [answered, joined, fresh]) {
      if (reply.status === 200) assert.match(reply.body, /"run":1\}$/);
      else assert.equal(readError(reply)?.outcome, "unknown", reply.body);
    }
    if (answered.status === 200) assert.equal(answered.body, first.body);
    // Every agent reported that it does not hold this key, so it may run.
    assert.equal(fresh.status, 200, fresh.body);
    const counts = await Promise.all(
      ["answered", "running", "fresh"].map((name) =>
        countExecutions(site.plainUrl, `${ticket}/${name}`)
      ),
    );
    assert.deepEqual(counts, [1, 1, 1]);
  },
);
