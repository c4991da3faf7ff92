/**
 * A request that crashes each engine that begins to run it comes again: some times
 * in a row, and in a few such series. All entries are killed between two series,
 * and start again; this happens twice.
 */

import { setTimeout as delay } from "node:timers/promises";
import { createConfiguration } from "../lib-3/client.mjs";
import { BOUNDS } from "../lib-3/entry.mjs";
import { runCase } from "../lib-3/run_case.mjs";

const ENTRIES = 3;
const ENGINES = 8;
const SERVICE = "ledger";
const WORK_MS = 300;
/** An engine that has crashed is back after some seconds. */
const ENGINE_DOWN_MS = 3_000;
const CRASHING = "this request crashes the engine that runs it";
const COMES_AGAIN_MS = 300;
const TRIES_IN_SERIES = 6;
const SERIES_AT_MS = [0, 14_000, 28_000];
const SOUND_PER_S = 16;
const DOWN_MS = 500;
/** The entries start again well over `contact_ms` before the next series. */
const KILLS_AT_MS = [8_000, 22_000];
const END_MS = 36_000;
const MAX_RETRIES = 3;

await runCase(import.meta.url, {
  entryCount: ENTRIES,
  events: ["requestQuarantined", "targetDown", "exit"],
}, async (site) => {
  const { store, fleet } = site;
  const crashedAtMs = [];
  const arrivals = [];
  /** While no machine is in touch: from a kill to `contact_ms` after the start. */
  const spans = [];
  /** Sound requests that were passed on and lost, most of them in a crash. */
  const lostSound = [];

  const sendSound = async () => {
    for (let count = 0; !site.isEnding; count++) {
      const index = Math.floor(Math.random() * ENTRIES);
      const id = `sound-${count}`;
      void site.send(index, {
        id,
        path: "/once/pay",
        body: `payment ${count}`,
      }).then(({ status }) => {
        if (status === 502) lostSound.push(id);
      });
      await delay(1_000 / SOUND_PER_S);
    }
  };

  const sendCrashing = async (zeroMs) => {
    let count = 0;
    for (const atMs of SERIES_AT_MS) {
      await delay(zeroMs + atMs - site.nowMs());
      for (let tries = 0; tries < TRIES_IN_SERIES; tries++) {
        await site.send(count % ENTRIES, {
          id: `crashing-${count}`,
          path: "/once/pay",
          body: CRASHING,
        });
        count += 1;
        await delay(COMES_AGAIN_MS);
      }
    }
  };

  const isCrashing = ({ body }) => body.toString() === CRASHING;
  store.put("config", "main", createConfiguration({ service: SERVICE }));
  for (let index = 0; index < ENGINES; index++) {
    await site.startEngine({
      id: `i-${index + 1}`,
      service: SERVICE,
      workMs: WORK_MS,
      onArrival: (_engine, arrived) => {
        if (!isCrashing(arrived)) return;
        arrivals.push({ id: arrived.attemptId, atMs: site.nowMs() });
      },
      onRun: (engine, started) => {
        if (!isCrashing(started)) return undefined;
        crashedAtMs.push(site.nowMs());
        site.note(`CRASH ${crashedAtMs.length}: engine ${engine.id}`);
        engine.crash();
        setTimeout(() => engine.start(), ENGINE_DOWN_MS);
        return "crashed";
      },
    });
  }
  await site.startEntries();
  void sendSound();
  await delay(BOUNDS.contact_ms);
  const zeroMs = site.nowMs();
  void sendCrashing(zeroMs);
  for (const atMs of site.hasTrouble ? KILLS_AT_MS : []) {
    await delay(zeroMs + atMs - site.nowMs());
    const fromMs = site.nowMs();
    site.note("all entries are killed");
    for (const { index } of fleet.entries) fleet.kill(index, "SIGKILL");
    await delay(DOWN_MS);
    await site.startEntries();
    spans.push({ fromMs, untilMs: site.nowMs() + BOUNDS.contact_ms });
  }
  await delay(zeroMs + END_MS - site.nowMs());
  site.isEnding = true;
  const thirdMs = crashedAtMs[2] ?? Number.POSITIVE_INFINITY;
  const retries = new Set(
    arrivals.filter(({ atMs }) =>
      atMs > thirdMs + BOUNDS.contact_ms &&
      !spans.some(({ fromMs, untilMs }) => atMs >= fromMs && atMs < untilMs)
    ).map(({ id }) => id),
  );
  site.note(`crashes of engines: ${crashedAtMs.length}`);
  site.note(
    `sound requests that ended with 502: ${lostSound.length} (${
      lostSound.join(", ")
    })`,
  );
  site.note(
    `retries that reached engines later than ${BOUNDS.contact_ms} ms after the ` +
      `third crash, sent by machines in touch: ${retries.size} (${
        [...retries].join(", ")
      }); the rule allows ${MAX_RETRIES}`,
  );
  return crashedAtMs.length < 2 ? undefined : retries.size > MAX_RETRIES;
});
