import { Random } from "@dandelionbank/message-queue";
import { HEADERS } from "@dandelionbank/platform-adapter";
import {
  call,
  createConfiguration,
  EntryProgram,
  waitFor,
} from "@dandelionbank/run-entry";
import {
  CrashingEngines,
  type EngineCall,
  SiteStore,
} from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";

/** Time after the fifth crash from which requests with its cause are counted. */
const REACTION_MS = 3_000;
const TOLERATED_CRASHES = 5;
const MAX_LATE_ARRIVALS = 3;
const MIN_BEGUN_RATIO = 0.5;
const CRASHING_PART = "bad0bad0";
const FIRST_PART = "f1f1f1f1";
const SUBJECTS = ["50b1ec70", "50b1ec71", "50b1ec72", "50b1ec73"];
const SOUND_INTERVAL_MS = 25;
const CRASHING_INTERVAL_MS = 240;
const BASELINE_MS = 2_000;
/** Enough for five crashes, each of which stops the group for some 600 ms. */
const CRASHES_MS = 6_000;
const MEASURED_MS = 2_500;
/** Time for which requests with the part are sent to restarted entries. */
const RESTARTED_MS = 2_000;

for (const keepsIds of [false, true]) {
  const restart = keepsIds ? "under their ids" : "under other ids";
  test(`A prompt part that crashes engines, which start again ${restart}, is refused and the sound requests beside it are served`, async (t) => {
    const site = await startCrashingSite(t, { keepsIds });
    const { engines } = site;
    await delay(BASELINE_MS);
    site.sendsCrashing = true;
    const baseline = measureBegunRatio(site, 0);
    await delay(CRASHES_MS);
    const lastCrashMs = engines.crashesMs.at(TOLERATED_CRASHES - 1) ??
      engines.crashesMs.at(-1)!;
    const measuredFromMs = lastCrashMs + 2 * REACTION_MS;
    await delay(
      Math.max(0, measuredFromMs - performance.now()) + MEASURED_MS,
    );
    const late = countLateArrivals(engines, lastCrashMs);
    const afterwards = measureBegunRatio(site, measuredFromMs);
    t.diagnostic(
      `${engines.crashesMs.length} crashes, ${late} late arrivals, begun ${afterwards} of ${baseline} before`,
    );
    assert.ok(late <= MAX_LATE_ARRIVALS, `${late} late arrivals`);
    assert.ok(afterwards >= baseline * MIN_BEGUN_RATIO, `${afterwards} begun`);
  });
}

test("A prompt part that crashes engines from the first request on is refused as well", async (t) => {
  const site = await startCrashingSite(t, { keepsIds: false });
  const { engines } = site;
  site.sendsCrashing = true;
  await delay(CRASHES_MS);
  const fifthCrashMs = engines.crashesMs.at(TOLERATED_CRASHES - 1) ??
    engines.crashesMs.at(-1)!;
  const measuredFromMs = fifthCrashMs + 2 * REACTION_MS;
  await delay(Math.max(0, measuredFromMs - performance.now()) + MEASURED_MS);
  const late = countLateArrivals(engines, fifthCrashMs);
  assert.ok(late <= MAX_LATE_ARRIVALS, `${late} late arrivals`);
  const begun = measureBegunRatio(site, measuredFromMs);
  assert.ok(begun >= MIN_BEGUN_RATIO, `${begun} begun`);
});

test("Entries that are all killed and restarted still refuse a prompt part that crashes engines", async (t) => {
  const site = await startCrashingSite(t, { keepsIds: false });
  const { engines, entries } = site;
  await delay(BASELINE_MS);
  site.sendsCrashing = true;
  const hasFound = (entry: EntryProgram) =>
    entry.hasLogged("promptPartQuarantined") ||
    entry.hasLogged("promptPartQuarantineAdopted");
  await waitFor(() => entries.every(hasFound), { timeoutMs: CRASHES_MS });
  site.sendsCrashing = false;
  await Promise.all(entries.map((entry) => entry.stop("SIGKILL")));
  await Promise.all(entries.map((entry) => entry.start()));
  const crashCount = engines.crashesMs.length;
  const arrivalCount = countCrashingArrivals(engines);
  site.sendsCrashing = true;
  await delay(RESTARTED_MS);
  assert.equal(countCrashingArrivals(engines), arrivalCount);
  assert.equal(engines.crashesMs.length, crashCount);
});

interface SoundResult {
  readonly sentAtMs: number;
  readonly hasBegun: boolean;
}

class CrashingSite {
  readonly engines: CrashingEngines;
  readonly entries: readonly EntryProgram[];
  readonly #random = Random.create(33);
  /** The sound calls that have ended. */
  readonly results: SoundResult[] = [];
  sendsCrashing = false;
  #lastNumber = 0;

  private constructor(
    engines: CrashingEngines,
    entries: readonly EntryProgram[],
  ) {
    this.engines = engines;
    this.entries = entries;
  }

  static create(
    engines: CrashingEngines,
    entries: readonly EntryProgram[],
  ): CrashingSite {
    return new CrashingSite(engines, entries);
  }

  /** Sends a request whose parts, apart from the first, are drawn at random. */
  send(middleParts: readonly string[]): void {
    this.#lastNumber += 1;
    const number = this.#lastNumber;
    const sentAtMs = performance.now();
    const parts = [
      FIRST_PART,
      this.#random.pick(SUBJECTS),
      ...middleParts,
      `0${number}`,
    ];
    const isSound = middleParts.length === 0;
    void call(this.#random.pick(this.entries), {
      path: "/stream/a",
      body: `prompt ${number}`,
      headers: {
        [HEADERS.promptPrefixHashes]: parts.map((id) => `${id}:40`).join(","),
        [HEADERS.tokenCounts]: "160,32",
      },
    }).then(
      ({ status }) => status === 200,
      () => false,
    ).then((hasBegun) => {
      if (isSound) this.results.push({ sentAtMs, hasBegun });
    });
  }
}

async function startCrashingSite(
  t: TestContext,
  { keepsIds }: { readonly keepsIds: boolean },
): Promise<CrashingSite> {
  const store = await SiteStore.create();
  store.put("config", "main", createConfiguration());
  const engines = await CrashingEngines.create({
    store,
    count: 6,
    service: "s",
    isCrashing,
    keepsIds,
  });
  const entries = await Promise.all(
    [1, 2, 3].map((number) => EntryProgram.start(t, { store, number })),
  );
  const site = CrashingSite.create(engines, entries);
  const timers = [
    setInterval(() => site.send([]), SOUND_INTERVAL_MS),
    setInterval(() => {
      if (site.sendsCrashing) site.send([CRASHING_PART]);
    }, CRASHING_INTERVAL_MS),
  ];
  t.after(async () => {
    for (const timer of timers) clearInterval(timer);
    await engines.close();
    await store.close();
  });
  return site;
}

/** Counts the requests with the part that came after the time to react. */
function countLateArrivals(
  { arrivals }: CrashingEngines,
  crashMs: number,
): number {
  return arrivals.filter(({ atMs, call }) =>
    isCrashing(call) && atMs > crashMs + REACTION_MS
  ).length;
}

function countCrashingArrivals({ arrivals }: CrashingEngines): number {
  return arrivals.filter(({ call }) => isCrashing(call)).length;
}

function isCrashing({ headers }: EngineCall): boolean {
  const parts = String(headers[HEADERS.promptPrefixHashes] ?? "");
  return parts.includes(CRASHING_PART);
}

/** Returns the part of the sound calls sent from then on whose answers have begun. */
function measureBegunRatio(
  { results }: CrashingSite,
  fromMs: number,
): number {
  const counted = results.filter(({ sentAtMs }) => sentAtMs >= fromMs);
  assert.ok(counted.length >= 20, `${counted.length} sound calls ended`);
  return counted.filter(({ hasBegun }) => hasBegun).length / counted.length;
}
