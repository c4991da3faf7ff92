import {
  callEntry,
  type CallerReply,
  fetchTicket,
  type Site,
} from "@dandelionbank/run-site";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import {
  assertCompletion,
  type BlockedDirection,
  countAllExecutions,
  countExecutions,
  createCompletionCall,
  readAgents,
  Relay,
  startSite,
  waitUntil,
} from "./mod.ts";

const TEST_OPTIONS = { timeout: 60_000 };
const SITE_OPTIONS = {
  entries: 1,
  ranks: 1,
  config: { requestTimeoutMs: 12_000, progressTimeoutMs: 500 },
};
const WORK_MS = 700;
const REQUESTS = [1, 2, 3, 4].map((number) => ({
  prompt: `${number} silent letters`,
  maxTokens: 150,
  stream: true,
}));

/** Inserts a relay between the entries and each agent, for attempts only. */
async function relayAgents(
  context: TestContext,
  site: Site,
): Promise<readonly Relay[]> {
  const relays: Relay[] = [];
  context.after(() => Promise.all(relays.map((relay) => relay.close())));
  for (const [name, value] of await readAgents(site)) {
    const relay = await Relay.start(value.peerUrl);
    relays.push(relay);
    await site.overwriteObject({ kind: "agent", name }, {
      ...value,
      peerUrl: relay.url,
    });
  }
  const { callerKey: key } = site;
  const url = site.getEntryUrl("entry-1");
  await waitUntil("attempts go through the relays", async () => {
    await Promise.all([
      callEntry(url, { key, path: "/services/parts/warm" }),
      callEntry(
        url,
        createCompletionCall(key, {
          prompt: "Warm",
          maxTokens: 1,
          stream: false,
        }),
      ),
    ]);
    return relays.every(({ connectionCount }) => connectionCount > 0);
  });
  return relays;
}

test(
  "Requests are answered, each run once, when connections to agents stop forwarding data",
  TEST_OPTIONS,
  async (context) => {
    const site = await startSite(context, SITE_OPTIONS);
    const relays = await relayAgents(context, site);
    const { callerKey: key } = site;
    const url = site.getEntryUrl("entry-1");
    await site.setFaults(site.plainUrl, { workMs: WORK_MS });
    const directions: readonly BlockedDirection[] = [
      "both",
      "toServer",
      "toClient",
    ];
    for (const direction of directions) {
      const { ticket } = await fetchTicket(url, key);
      const bookReel = (name: string, headers = {}) =>
        callEntry(url, {
          key,
          path: "/services/parts/reels/book",
          body: JSON.stringify({ reel: `${name} ${direction}` }),
          headers,
        });
      const bookReelWithKey = (name: string) =>
        bookReel(name, { "idempotency-key": `${ticket}/${name}` });
      const startedPrompts = new Set<string>();
      const streamCompletion = (
        request: typeof REQUESTS[number],
      ): Promise<CallerReply> =>
        callEntry(url, {
          ...createCompletionCall(key, request),
          onData: () => startedPrompts.add(request.prompt),
        });
      const executionsBefore = await countAllExecutions(site.plainUrl);
      const bookReplies = [bookReelWithKey("before"), bookReel("before")];
      const streamReplies = REQUESTS.slice(0, 2).map(streamCompletion);
      await waitUntil(
        "all calls run",
        async () =>
          startedPrompts.size === 2 &&
          await countAllExecutions(site.plainUrl) === executionsBefore + 2,
      );
      for (const relay of relays) {
        assert.ok(relay.blockOpenConnections(direction) > 0);
      }
      bookReplies.push(
        bookReelWithKey("after"),
        bookReel("after"),
        bookReelWithKey("after"),
      );
      streamReplies.push(...REQUESTS.slice(2).map(streamCompletion));
      for (const { status, body } of await Promise.all(bookReplies)) {
        assert.equal(status, 200, `${direction}: ${body}`);
      }
      (await Promise.all(streamReplies)).forEach((reply, index) =>
        assertCompletion(reply, REQUESTS[index] ?? assert.fail())
      );
      for (const name of ["before", "after"]) {
        const counted = countExecutions(site.plainUrl, `${ticket}/${name}`);
        assert.equal(await counted, 1, `${direction}: ${name}`);
      }
      assert.equal(
        await countAllExecutions(site.plainUrl),
        executionsBefore + 4,
      );
    }
  },
);
