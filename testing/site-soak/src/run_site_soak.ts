/** One soak: faults by their seed, then rest, then the checks. */

import { EntryProgram } from "@dandelionbank/run-entry";
import { Random } from "@dandelionbank/message-queue";
import { SiteStore } from "@dandelionbank/standin-site";
import { setTimeout as delay } from "node:timers/promises";
import { CheckedCallers } from "./checked_callers.ts";
import { EngineFleet } from "./engine_fleet.ts";
import { Operator } from "./operator.ts";

const ENTRIES = 3;
const ENGINES = 4;
const CALLERS = 8;
const FAULT_EVERY_MS = 350;
const FREEZE_MS = 1_200;
const STORE_FAULT_MS = 1_500;
/** Longer than any entry may use a key without hearing from the store. */
const STORE_AWAY_MS = 4_000;
/** In which everything has to be served again. */
const RECOVERY_MS = 4_000;
const FINAL_CALLS = 40;
const GRACE_S = 2;

export interface SiteSoakOptions {
  readonly durationMs: number;
  readonly seed: number;
}

export interface SiteSoakSummary {
  readonly seed: number;
  readonly calls: number;
  readonly served: number;
  /** How often each fault came. */
  readonly faults: Readonly<Record<string, number>>;
  readonly violations: readonly string[];
}

export async function runSiteSoak(
  { durationMs, seed }: SiteSoakOptions,
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
    const fleet = await EngineFleet.create(ENGINES, { store, random });
    cleanups.push(() => fleet.close());
    const nodes = await Promise.all(
      Array.from(
        { length: ENTRIES },
        (_, number) =>
          EntryProgram.start(scope, { store, number, graceS: GRACE_S }),
      ),
    );
    const callers = CheckedCallers.create(nodes, random);
    const calling = Array.from({ length: CALLERS }, () => callers.run());
    const plan = createFaults({ store, fleet, nodes, random, operator });
    const faults: Record<string, number> = {};
    const underWay: Promise<void>[] = [];
    const untilMs = performance.now() + durationMs;
    let isRevoking = false;
    while (performance.now() < untilMs) {
      const [name, cause] = random.pick(plan);
      faults[name] = (faults[name] ?? 0) + 1;
      underWay.push(
        cause().catch((error) => {
          callers.violations.push(`${name}: ${String(error)}`);
        }),
      );
      await delay(FAULT_EVERY_MS);
      const isHalfOver = performance.now() > untilMs - durationMs / 2;
      if (!isHalfOver || isRevoking) continue;
      isRevoking = true;
      underWay.push(revokeUnseen({ store, operator }));
    }
    await Promise.all(underWay);
    fleet.isSound = true;
    await delay(RECOVERY_MS);
    callers.stop();
    await Promise.all(calling);
    await checkRecovery(callers);
    callers.checkRuns(fleet, operator);
    const { callCount: calls, servedCount: served, violations } = callers;
    return { seed, calls, served, faults, violations };
  } finally {
    for (const cleanup of cleanups.reverse()) await cleanup();
  }
}

interface FaultTargets {
  readonly store: SiteStore;
  readonly fleet: EngineFleet;
  readonly nodes: readonly EntryProgram[];
  readonly random: Random;
  readonly operator: Operator;
}

type Fault = readonly [name: string, cause: () => Promise<void>];

function createFaults(
  { store, fleet, nodes, random, operator }: FaultTargets,
): readonly Fault[] {
  const busy = new Set<EntryProgram>();
  /** One fault at a time to each entry. */
  const onNode = (cause: (node: EntryProgram) => Promise<void>) => async () => {
    const node = random.pick(nodes);
    if (busy.has(node)) return;
    busy.add(node);
    try {
      await cause(node);
    } finally {
      busy.delete(node);
    }
  };
  const onStore = (availability: SiteStore["availability"]) => async () => {
    if (store.availability !== "available") return;
    store.availability = availability;
    await delay(STORE_FAULT_MS);
    store.availability = "available";
  };
  return [
    [
      "entry killed",
      onNode(async (node) => {
        await node.stop("SIGKILL");
        await node.start();
      }),
    ],
    [
      "entry stopped",
      onNode(async (node) => {
        await node.stop("SIGTERM");
        await node.start();
      }),
    ],
    [
      "entry frozen",
      onNode(async (node) => {
        node.signal("SIGSTOP");
        await delay(FREEZE_MS);
        node.signal("SIGCONT");
      }),
    ],
    [
      "settings read",
      onNode((node) => {
        node.signal("SIGHUP");
        return Promise.resolve();
      }),
    ],
    ["engine crashes", () => fleet.crash()],
    ["engine drains", () => fleet.drain()],
    ["store busy", onStore("unavailable")],
    ["store silent", onStore("unresponsive")],
    ["history dropped", () => {
      store.compactHistory();
      return Promise.resolve();
    }],
    ["configuration changes", () => {
      operator.change();
      return Promise.resolve();
    }],
  ];
}

/** Takes a key away while no entry hears of it. */
async function revokeUnseen(
  { store, operator }: Pick<FaultTargets, "store" | "operator">,
): Promise<void> {
  while (store.availability !== "available") await delay(FAULT_EVERY_MS / 10);
  store.availability = "unresponsive";
  operator.revoke();
  await delay(STORE_AWAY_MS);
  store.availability = "available";
}

/** Faults are over, so nothing may be refused or fail any more. */
async function checkRecovery(callers: CheckedCallers): Promise<void> {
  for (let index = 0; index < FINAL_CALLS; index++) {
    const status = await callers.callOnce({ isOnce: index % 2 === 0 });
    if (status === 200) continue;
    callers.violations.push(`after the faults: ${status ?? "no answer"}`);
  }
}
