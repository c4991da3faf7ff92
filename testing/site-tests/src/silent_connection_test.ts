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
  completionCall,
  countAllExecutions,
  countExecutions,
  readAgents,
  Relay,
  type Silence,
  startSite,
  waitUntil,
} from "./mod.ts";

const LIMITS = { timeout: 60_000 };
const OPTIONS = {
  entries: 1,
  ranks: 1,
  config: { requestTimeoutMs: 12_000, progressTimeoutMs: 500 },
};
const WORK_MS = 700;
const WISHES = [1, 2, 3, 4].map((number) => ({
  prompt: `${number} silent letters`,
  maxTokens: 150,
  stream: true,
}));

/** Puts a relay between the entries and each agent, for attempts alone. */
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
        completionCall(key, { prompt: "Warm", maxTokens: 1, stream: false }),
      ),
    ]);
    return relays.every(({ connectionCount }) => connectionCount > 0);
  });
  return relays;
}

test(
  "Requests are answered when connections to agents fall silent",
  LIMITS,
  async (context) => {
    const site = await startSite(context, OPTIONS);
    const relays = await relayAgents(context, site);
    const { callerKey: key } = site;
    const url = site.getEntryUrl("entry-1");
    await site.setFaults(site.plainUrl, { workMs: WORK_MS });
    const silences: readonly Silence[] = ["both", "toServer", "toClient"];
    for (const silence of silences) {
      const { ticket } = await fetchTicket(url, key);
      const book = (name: string, headers = {}) =>
        callEntry(url, {
          key,
          path: "/services/parts/reels/book",
          body: JSON.stringify({ reel: `${name} ${silence}` }),
          headers,
        });
      const keyed = (name: string) =>
        book(name, { "idempotency-key": `${ticket}/${name}` });
      const begun = new Set<string>();
      const stream = (wish: typeof WISHES[number]): Promise<CallerReply> =>
        callEntry(url, {
          ...completionCall(key, wish),
          onData: () => begun.add(wish.prompt),
        });
      const ranBefore = await countAllExecutions(site.plainUrl);
      const booked = [keyed("before"), book("before")];
      const streams = WISHES.slice(0, 2).map(stream);
      await waitUntil(
        "all of them run",
        async () =>
          begun.size === 2 &&
          await countAllExecutions(site.plainUrl) === ranBefore + 2,
      );
      for (const relay of relays) assert.ok(relay.silenceOpen(silence) > 0);
      booked.push(keyed("after"), book("after"), keyed("after"));
      streams.push(...WISHES.slice(2).map(stream));
      for (const { status, body } of await Promise.all(booked)) {
        assert.equal(status, 200, `${silence}: ${body}`);
      }
      (await Promise.all(streams)).forEach((reply, index) =>
        assertCompletion(reply, WISHES[index] ?? assert.fail())
      );
      for (const name of ["before", "after"]) {
        const counted = countExecutions(site.plainUrl, `${ticket}/${name}`);
        assert.equal(await counted, 1, `${silence}: ${name}`);
      }
      assert.equal(await countAllExecutions(site.plainUrl), ranBefore + 4);
    }
  },
);
