/**
 * An engine leaves that never reports `draining`: its entry is removed from the
 * store, and it serves on for a little longer than `drain_ms`. Just before, the
 * store cuts the watches that wait. Three engines leave so, one after the other.
 */

import { setTimeout as delay } from "node:timers/promises";
import { createConfiguration } from "../lib-3/client.mjs";
import { BOUNDS } from "../lib-3/entry.mjs";
import { runCase } from "../lib-3/run_case.mjs";

const ENTRIES = 2;
const ENGINES = 4;
const SERVICE = "ledger";
const WORK_MS = 86;
const REQUESTS_PER_S = 60;
const ROUNDS = 3;
/** How long after the cut the store accepts the removal. */
const REMOVED_AFTER_CUT_MS = 40;
/** The engine serves for `drain_ms` and a little longer, and then exits. */
const SERVES_ON_MS = BOUNDS.drain_ms + 350;
/** Without disruption for longer than `contact_ms`, everything is in touch. */
const CALM_MS = BOUNDS.contact_ms + 1_000;

await runCase(import.meta.url, {
  entryCount: ENTRIES,
  events: ["storeLost", "storeRegained", "targetsChanged", "exit"],
}, async (site) => {
  const { store } = site;
  /** When the store accepted the removal of an engine's entry, by its id. */
  const removedAtMs = new Map();
  const late = new Set();
  const failed = [];

  const startEngine = () =>
    site.startEngine({
      id: `i-${site.engines.length + 1}`,
      service: SERVICE,
      workMs: WORK_MS,
      onArrival: (engine, { attemptId }) => {
        const afterMs = site.nowMs() - removedAtMs.get(engine.id);
        if (!(afterMs > BOUNDS.drain_ms)) return;
        late.add(attemptId);
        site.note(
          `LATE: ${attemptId} reaches ${engine.id} ${
            Math.round(afterMs)
          } ms after the store accepted the removal`,
        );
      },
    });

  const sendRequests = async () => {
    for (let count = 0; !site.isEnding; count++) {
      const id = `r-${count}`;
      void site.send(count % ENTRIES, {
        id,
        path: "/once/pay",
        body: `payment ${count}`,
      }).then(({ status, end }) => {
        if (site.isEnding || status === 200 || status === 503) return;
        failed.push(`${id}: ${end}`);
      });
      await delay(1_000 / REQUESTS_PER_S);
    }
  };

  store.put("config", "main", createConfiguration({ service: SERVICE }));
  for (let index = 0; index < ENGINES; index++) await startEngine();
  await site.startEntries();
  void sendRequests();
  for (let round = 0; round < ROUNDS; round++) {
    await delay(CALM_MS);
    if (site.hasTrouble) {
      site.note("the store cuts the watches that wait");
      store.cutWatches();
      await delay(REMOVED_AFTER_CUT_MS);
    }
    const leaving = site.engines[round];
    leaving.stopBeating();
    store.remove("servers", leaving.id);
    removedAtMs.set(leaving.id, site.nowMs());
    site.note(`the store accepts the removal of ${leaving.id}`);
    await delay(SERVES_ON_MS);
    site.note(`engine ${leaving.id} exits`);
    leaving.crash();
    await startEngine();
  }
  await delay(2_000);
  site.isEnding = true;
  site.note(
    `requests that ended with neither 200 nor 503: ${failed.length} (${
      failed.join(", ")
    })`,
  );
  site.note(
    `requests that reached an engine later than ${BOUNDS.drain_ms} ms after ` +
      `the store had accepted its removal: ${late.size}; the rule allows none`,
  );
  return late.size > 0;
});
