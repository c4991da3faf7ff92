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

const TEST_OPTIONS = { timeout: 60_000 };
const OUTAGE_MS = 2_000;

for (const faults of [{ outage: true }, { silent: true }]) {
  const faultName = Object.keys(faults).join();
  const clearedFaults = Object.fromEntries(
    Object.keys(faults).map((name) => [name, false]),
  );
  test(
    `Requests are served, and a restarted agent waits, under the platform fault ${faultName}`,
    TEST_OPTIONS,
    async (context) => {
      const site = await startSite(context, { entries: 2, ranks: 2 });
      const url = site.getEntryUrl("entry-1");
      const bookReel = (key: string) =>
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
        "both ranks have running streams",
        () =>
          [0, 1].every((rank) =>
            load.listRunningOn(`review-${rank}`).length > 0
          ),
      );
      await site.setFaults(site.platformUrl, faults);
      await site.agents.get("review-0")?.stop("SIGKILL");
      const cutStreams = load.listRunningOn("review-0");
      const restart = site.startRankAgent(0);
      let hasRestarted = false;
      void restart.then(() => hasRestarted = true);
      const restartedAtMs = performance.now();
      await waitUntil(
        "the interrupted streams end",
        () => cutStreams.every(({ reply }) => reply !== undefined),
      );
      await sleep(OUTAGE_MS);

      const { ticket } = await fetchTicket(url, site.callerKey);
      const booked = await bookReel(`${ticket}/during`);
      assert.equal(booked.status, 200, booked.body);
      assert.ok(
        !hasRestarted,
        "The restarted agent accepts calls before it can read the platform",
      );
      const startedDuringOutage = load.listStartedAfter(restartedAtMs);
      assert.ok(startedDuringOutage.some(({ reply }) => reply !== undefined));
      assert.ok(
        startedDuringOutage.every(({ target }) => target !== "review-0"),
      );

      await site.setFaults(site.platformUrl, clearedFaults);
      await restart;
      await waitUntil(
        "the restarted agent has running streams",
        () => load.listRunningOn("review-0").length > 0,
      );
      await load.stop();
      for (const { reply, request } of load.records) {
        assert.ok(reply !== undefined);
        assertCompletion(reply, request);
      }
      const repeated = await bookReel(`${ticket}/during`);
      assert.equal(repeated.body, booked.body);
      assert.equal(await countExecutions(site.plainUrl, `${ticket}/during`), 1);
    },
  );
}
