/**
 * Runs the site soak: random faults under load, a recovery period, and the final
 * checks. Halfway, a key is revoked during an outage of the store.
 */

import { EntryProgram } from "@dandelionbank/run-entry";
import { Random } from "@dandelionbank/message-queue";
import { SiteStore } from "@dandelionbank/standin-site";
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { CheckedCallers } from "./checked_callers.ts";
import { EngineFleet } from "./engine_fleet.ts";
import type { AnnouncementCounts } from "./notice_checks.ts";
import { Operator } from "./operator.ts";

const ENTRY_COUNT = 3;
const ENGINE_COUNT = 4;
const CALLER_COUNT = 8;
const FAULT_INTERVAL_MS = 350;
const FREEZE_DURATION_MS = 1_200;
const STORE_FAULT_DURATION_MS = 1_500;
/** Age of the copy from which the store comes back. */
const COPY_AGE_MS = 900;
/** Time after which the operator and the engines write again what was lost. */
const REWRITE_DELAY_MS = 250;
/** Longer than an entry may use a key without contact with the store. */
const REVOCATION_OUTAGE_MS = 4_000;
/** Time after the last fault by which every request must succeed again. */
const RECOVERY_MS = 4_000;
/**
 * Added if the store was restored: the time for lost changes to be written again,
 * in which entries use no keys, counts from when an entry reaches the store.
 */
const REWRITE_MS = 2_000;
const FINAL_CALL_COUNT = 40;
/** Time from SIGTERM to SIGKILL in the entries' settings. */
const GRACE_S = 2;

const STORE_RESTORED = "store restored";

export interface SiteSoakOptions {
  readonly durationMs: number;
  readonly seed: number;
  /** Where the logs of a run with violations are written; not kept if absent. */
  readonly logDirectory?: string;
}

export interface SiteSoakSummary {
  readonly seed: number;
  readonly calls: number;
  readonly served: number;
  readonly announcements: AnnouncementCounts;
  /** Number of injected faults by kind. */
  readonly faults: Readonly<Record<string, number>>;
  readonly violations: readonly string[];
}

export async function runSiteSoak(
  { durationMs, seed, logDirectory }: SiteSoakOptions,
): Promise<SiteSoakSummary> {
  const cleanups: (() => unknown)[] = [];
  const scope = {
    after: (cleanup: () => unknown) => void cleanups.push(cleanup),
  };
  const random = Random.create(seed);
  const store = await SiteStore.create();
  cleanups.push(() => store.close());
  try {
    const operator = Operator.create(store);
    const fleet = await EngineFleet.create(ENGINE_COUNT, { store, random });
    cleanups.push(() => fleet.close());
    const entries = await Promise.all(
      Array.from(
        { length: ENTRY_COUNT },
        (_, number) =>
          EntryProgram.start(scope, { store, number, graceS: GRACE_S }),
      ),
    );
    const callers = CheckedCallers.create(entries, random);
    const callerLoops = Array.from(
      { length: CALLER_COUNT },
      () => callers.run(),
    );
    const faultKinds = createFaults({
      store,
      fleet,
      entries,
      random,
      operator,
    });
    const faults: Record<string, number> = {};
    const faultLines: string[] = [];
    await callers.waitUntilServed();
    // Random announcements may all fall into an outage, in which no entry is told.
    const pendingFaults = [fleet.leave(), fleet.refuse()];
    await fleet.notices.waitUntilAnnounced();
    const untilMs = performance.now() + durationMs;
    let isRevoking = false;
    while (performance.now() < untilMs) {
      const [name, inject] = random.pick(faultKinds);
      faults[name] = (faults[name] ?? 0) + 1;
      faultLines.push(JSON.stringify({ time: new Date(), fault: name }));
      pendingFaults.push(
        inject().catch((error) => {
          callers.violations.push(`${name}: ${String(error)}`);
        }),
      );
      await delay(FAULT_INTERVAL_MS);
      const isHalfOver = performance.now() > untilMs - durationMs / 2;
      if (!isHalfOver || isRevoking) continue;
      isRevoking = true;
      pendingFaults.push(revokeDuringOutage({ store, operator }));
    }
    await Promise.all(pendingFaults);
    fleet.isHealthy = true;
    const wasRestored = faults[STORE_RESTORED] !== undefined;
    await delay(RECOVERY_MS + (wasRestored ? REWRITE_MS : 0));
    callers.stop();
    await Promise.all(callerLoops);
    await checkRecovery(callers);
    callers.checkRuns(fleet, operator);
    const { callCount: calls, servedCount: served } = callers;
    const announcements = fleet.notices.countAnnouncements();
    const violations = [
      ...callers.violations,
      ...fleet.notices.findViolations(),
    ];
    if (violations.length > 0 && logDirectory !== undefined) {
      await writeLogs(join(logDirectory, `seed-${seed}`), [
        ["faults", [...faultLines, ...violations]],
        ...entries.map(({ settings, loggedLines }) =>
          [settings.name, loggedLines] as const
        ),
      ]);
    }
    return { seed, calls, served, announcements, faults, violations };
  } finally {
    for (const cleanup of cleanups.reverse()) await cleanup();
  }
}

interface SoakSite {
  readonly store: SiteStore;
  readonly fleet: EngineFleet;
  readonly entries: readonly EntryProgram[];
  readonly random: Random;
  readonly operator: Operator;
}

type FaultKind = readonly [name: string, inject: () => Promise<void>];

function createFaults(
  { store, fleet, entries, random, operator }: SoakSite,
): readonly FaultKind[] {
  const affectedEntries = new Set<EntryProgram>();
  /** Applies a fault to a random entry unless another fault affects it already. */
  const onEntry =
    (inject: (entry: EntryProgram) => Promise<void>) => async () => {
      const entry = random.pick(entries);
      if (affectedEntries.has(entry)) return;
      affectedEntries.add(entry);
      const fromMs = performance.now();
      try {
        await inject(entry);
      } finally {
        affectedEntries.delete(entry);
        fleet.notices.recordDisturbance(entry.settings.name, fromMs);
      }
    };
  const onStore = (availability: SiteStore["availability"]) => async () => {
    if (store.availability !== "available") return;
    store.availability = availability;
    await delay(STORE_FAULT_DURATION_MS);
    store.availability = "available";
  };
  return [
    [
      "entry killed",
      onEntry(async (entry) => {
        await entry.stop("SIGKILL");
        await entry.start();
      }),
    ],
    [
      "entry stopped",
      onEntry(async (entry) => {
        await entry.stop("SIGTERM");
        await entry.start();
      }),
    ],
    [
      "entry frozen",
      onEntry(async (entry) => {
        entry.signal("SIGSTOP");
        await delay(FREEZE_DURATION_MS);
        entry.signal("SIGCONT");
      }),
    ],
    [
      "settings read",
      onEntry((entry) => {
        entry.signal("SIGHUP");
        return Promise.resolve();
      }),
    ],
    ["engine crashes", () => fleet.crash()],
    ["engine drains", () => fleet.drain()],
    ["engine leaves", () => fleet.leave()],
    ["engine wants nothing", () => fleet.refuse()],
    ["store busy", onStore("unavailable")],
    ["store silent", onStore("unresponsive")],
    ["history dropped", () => {
      store.compactHistory();
      return Promise.resolve();
    }],
    [STORE_RESTORED, async () => {
      const copy = store.createSnapshot();
      await delay(COPY_AGE_MS);
      store.restore(copy);
      await delay(REWRITE_DELAY_MS);
      operator.writeAgain();
      fleet.registerAgain();
    }],
    ["configuration changes", () => {
      operator.change();
      return Promise.resolve();
    }],
  ];
}

/** Writes one file for each source, with its name. */
async function writeLogs(
  directory: string,
  logs: readonly (readonly [source: string, lines: readonly string[]])[],
): Promise<void> {
  await mkdir(directory, { recursive: true });
  for (const [source, lines] of logs) {
    await writeFile(join(directory, `${source}.jsonl`), lines.join("\n"));
  }
}

/** Revokes a key while the store answers no entry. */
async function revokeDuringOutage(
  { store, operator }: Pick<SoakSite, "store" | "operator">,
): Promise<void> {
  while (store.availability !== "available") {
    await delay(FAULT_INTERVAL_MS / 10);
  }
  store.availability = "unresponsive";
  operator.revoke();
  await delay(REVOCATION_OUTAGE_MS);
  store.availability = "available";
}

/** Checks that every call succeeds once the faults are over. */
async function checkRecovery(callers: CheckedCallers): Promise<void> {
  for (let index = 0; index < FINAL_CALL_COUNT; index++) {
    const status = await callers.callOnce({ isOnce: index % 2 === 0 });
    if (status === 200) continue;
    callers.violations.push(`after the faults: ${status ?? "no answer"}`);
  }
}
