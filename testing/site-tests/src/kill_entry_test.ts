import { callEntry, fetchTicket, type Site } from "@dandelionbank/run-site";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  assertCompletion,
  completionCall,
  type CompletionWish,
  countExecutions,
  readError,
  sendUntilSettled,
  startSite,
  waitUntil,
} from "./mod.ts";

const OPTIONS = { entries: 2, ranks: 2 };
const LIMITS = { timeout: 60_000 };

function wishOf(name: string, maxTokens: number): CompletionWish {
  return { prompt: `Letter ${name}`, maxTokens, stream: true };
}

function bookCall(site: Site, requestKey: string) {
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
  "Callers of an entry that is killed mid-stream are served by the other",
  LIMITS,
  async (context) => {
    const site = await startSite(context, OPTIONS);
    const { callerKey: key } = site;
    const begun = new Set<number>();
    const cut = [1, 2, 3, 4].map((number) =>
      callEntry(site.getEntryUrl("entry-1"), {
        ...completionCall(key, wishOf(`${number}`, 1_000)),
        onData: () => begun.add(number),
      })
    );
    const others = [5, 6, 7].map((number) =>
      callEntry(
        site.getEntryUrl("entry-2"),
        completionCall(key, wishOf(`${number}`, 200)),
      )
    );
    await waitUntil("every stream began", () => begun.size === cut.length);
    await killEntry(site, "entry-1");
    for (const reply of await Promise.all(cut)) assert.ok(!reply.isComplete);

    const url = site.getEntryUrl("entry-2");
    const { addresses } = await fetchTicket(url, key);
    assert.equal(addresses[0], url);
    const again = await Promise.all([1, 2, 3, 4].map(async (number) => {
      const { ticket } = await fetchTicket(url, key);
      const call = completionCall(key, wishOf(`${number}`, 40));
      const headers = { "idempotency-key": `${ticket}/${number}` };
      return await sendUntilSettled(url, { ...call, headers });
    }));
    again.forEach((reply, index) =>
      assertCompletion(reply, wishOf(`${index + 1}`, 40))
    );
    (await Promise.all(others)).forEach((reply, index) =>
      assertCompletion(reply, wishOf(`${index + 5}`, 200))
    );
    await waitUntil(
      "the dead entry is no longer offered",
      async () => (await fetchTicket(url, key)).addresses.length === 1,
    );
  },
);

test(
  "Keys of a killed entry are settled by the other, none run twice",
  LIMITS,
  async (context) => {
    const site = await startSite(context, OPTIONS);
    const { callerKey: key } = site;
    const { ticket } = await fetchTicket(site.getEntryUrl("entry-1"), key);
    const answeredKey = `${ticket}/answered`;
    const first = await callEntry(
      site.getEntryUrl("entry-1"),
      bookCall(site, answeredKey),
    );
    assert.equal(first.status, 200, first.body);
    await site.setFaults(site.plainUrl, { workMs: 1_000 });
    const runningKey = `${ticket}/running`;
    const running = callEntry(
      site.getEntryUrl("entry-1"),
      bookCall(site, runningKey),
    )
      .then(() => "answered", () => "cut");
    await waitUntil(
      "the call runs",
      async () => await countExecutions(site.plainUrl, runningKey) === 1,
    );
    await killEntry(site, "entry-1");
    assert.equal(await running, "cut");

    const url = site.getEntryUrl("entry-2");
    const wish = { prompt: "Index card 12", maxTokens: 20, stream: false };
    const [answered, joined, fresh, completed] = await Promise.all([
      sendUntilSettled(url, bookCall(site, answeredKey)),
      sendUntilSettled(url, bookCall(site, runningKey)),
      sendUntilSettled(url, bookCall(site, `${ticket}/fresh`)),
      sendUntilSettled(url, {
        ...completionCall(key, wish),
        headers: { "idempotency-key": `${ticket}/completion` },
      }),
    ]);
    assertCompletion(completed, wish);
    for (const reply of [answered, joined, fresh]) {
      if (reply.status === 200) assert.match(reply.body, /"run":1\}$/);
      else assert.equal(readError(reply)?.outcome, "unknown", reply.body);
    }
    if (answered.status === 200) assert.equal(answered.body, first.body);
    // Every agent denied this key, so it is free to run.
    assert.equal(fresh.status, 200, fresh.body);
    const counts = await Promise.all(
      ["answered", "running", "fresh"].map((name) =>
        countExecutions(site.plainUrl, `${ticket}/${name}`)
      ),
    );
    assert.deepEqual(counts, [1, 1, 1]);
  },
);
