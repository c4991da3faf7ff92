import { callEntry, fetchTicket } from "@dandelionbank/run-site";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  assertCompletion,
  countExecutions,
  sleep,
  startSite,
  SteadyLoad,
  waitUntil,
} from "./mod.ts";

const LIMITS = { timeout: 60_000 };
const OUTAGE_MS = 2_000;

for (const faults of [{ outage: true }, { silent: true }]) {
  const what = Object.keys(faults).join();
  const healed = Object.fromEntries(
    Object.keys(faults).map((name) => [name, false]),
  );
  test(
    `Requests go on while the platform has this fault: ${what}`,
    LIMITS,
    async (context) => {
      const site = await startSite(context, { entries: 2, ranks: 2 });
      const url = site.getEntryUrl("entry-1");
      const book = (key: string) =>
        callEntry(url, {
          key: site.callerKey,
          path: "/services/parts/reels/book",
          body: JSON.stringify({ key }),
          headers: { "idempotency-key": key },
        });
      const load = SteadyLoad.start(site, {
        callersPerEntry: 2,
        maxTokens: 60,
      });
      await waitUntil(
        "both ranks have work",
        () =>
          [0, 1].every((rank) =>
            load.listRunningOn(`review-${rank}`).length > 0
          ),
      );
      await site.setFaults(site.platformUrl, faults);
      await site.agents.get("review-0")?.stop("SIGKILL");
      const cut = load.listRunningOn("review-0");
      const restarted = site.startRankAgent(0);
      let isOpen = false;
      void restarted.then(() => isOpen = true);
      const restartedAtMs = performance.now();
      await waitUntil(
        "the cut streams end elsewhere",
        () => cut.every(({ reply }) => reply !== undefined),
      );
      await sleep(OUTAGE_MS);

      const { ticket } = await fetchTicket(url, site.callerKey);
      const booked = await book(`${ticket}/during`);
      assert.equal(booked.status, 200, booked.body);
      assert.ok(!isOpen, "The agent takes work that it cannot know to be safe");
      const during = load.listStartedAfter(restartedAtMs);
      assert.ok(during.some(({ reply }) => reply !== undefined));
      assert.ok(during.every(({ target }) => target !== "review-0"));

      await site.setFaults(site.platformUrl, healed);
      await restarted;
      await waitUntil(
        "the restarted agent has work",
        () => load.listRunningOn("review-0").length > 0,
      );
      await load.stop();
      for (const { reply, wish } of load.records) {
        assert.ok(reply !== undefined);
        assertCompletion(reply, wish);
      }
      const again = await book(`${ticket}/during`);
      assert.equal(again.body, booked.body);
      assert.equal(await countExecutions(site.plainUrl, `${ticket}/during`), 1);
    },
  );
}
