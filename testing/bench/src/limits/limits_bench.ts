/**
 * How much of each contract's limit is usable at the entries that have the
 * demand, the traffic of the exchange of shares, and whether the sum of the
 * shares ever exceeds a limit. The baseline splits each limit evenly without an
 * exchange; the oracle knows the demand at every entry and moves shares at once.
 */

import { computeUsableShare } from "@dandelionbank/grant-allowances";
import { MessageQueue } from "@dandelionbank/message-queue";
import type { AllowanceMessage, LimitShare } from "@dandelionbank/types";
import {
  type Bench,
  type BenchReport,
  type BoundedFigure,
  evaluateFigure,
} from "../bench.ts";
import { TrafficMeter } from "../traffic_meter.ts";
import { LimitsEntry } from "./limits_entry.ts";
import { createTraffic } from "./limit_traffic.ts";
import type { OrganisationTraffic } from "./limit_traffic.ts";

const ORGANISATIONS = 450;
const LARGE_ENTRY_COUNT = 340;
const ENTRY_COUNTS = [6, LARGE_ENTRY_COUNT];
const WARM_UP_MS = 15_000;
const END_MS = 135_000;
const SAMPLE_INTERVAL_MS = 500;
const MAX_CONTROL_BYTES_PER_SECOND = 4_096;

/** The figures and baselines for one number of entries. */
interface CaseReport {
  readonly figures: readonly BoundedFigure[];
  readonly baselines: BenchReport["baselines"];
}

export const LIMITS_BENCH: Bench = {
  name: "limits",
  run({ seed }): Promise<BenchReport> {
    const results = ENTRY_COUNTS.map((entryCount) => runCase(seed, entryCount));
    return Promise.resolve({
      figures: results.flatMap(({ figures }) => figures.map(evaluateFigure)),
      baselines: Object.assign(
        {},
        ...results.map((result) => result.baselines),
      ),
    });
  },
};

/** Sums over all samples, in requests per second unless they are counts. */
interface Totals {
  /** What the oracle could use: the demand, but no more than the limit. */
  attainable: number;
  usable: number;
  usableWithEvenSplit: number;
  samples: number;
  /** Number of samples in which the entries' shares exceeded the limit. */
  exceeded: number;
}

function runCase(seed: number, entryCount: number): CaseReport {
  const queue = MessageQueue.create<AllowanceMessage>({
    seed,
    faults: { minDelayMs: 1, maxDelayMs: 4 },
  });
  const names = Array.from(
    { length: entryCount },
    (_, index) => `entry-${index}`,
  );
  const traffic = createTraffic(queue.random, {
    entries: names,
    organisations: ORGANISATIONS,
  });
  const meter = TrafficMeter.create();
  const entries = new Map(names.map((name) => [
    name,
    startEntry(name, { queue, traffic, meter }),
  ]));
  const totals = {
    attainable: 0,
    usable: 0,
    usableWithEvenSplit: 0,
    samples: 0,
    exceeded: 0,
  };
  for (let atMs = WARM_UP_MS; atMs < END_MS; atMs += SAMPLE_INTERVAL_MS) {
    queue.runAt(atMs, () => {
      meter.isCounting = true;
      for (const organisation of traffic) {
        recordSample(totals, { organisation, entries, atMs });
      }
    });
  }
  queue.runUntilQuiet({ limitMs: END_MS });
  return createReport(totals, { entryCount, meter });
}

function startEntry(
  name: string,
  { queue, traffic, meter }: {
    readonly queue: MessageQueue<AllowanceMessage>;
    readonly traffic: readonly OrganisationTraffic[];
    readonly meter: TrafficMeter;
  },
): LimitsEntry {
  const entry = LimitsEntry.create({
    name,
    traffic: traffic.filter(({ entries }) => entries.includes(name)),
    nowMs: () => queue.nowMs,
    post: (to, message) => {
      if (to !== name) meter.countMessage(name, message);
      queue.post({ from: name, to }, message);
    },
  });
  queue.start(name, entry);
  const tick = () => {
    entry.tick();
    queue.startTimer(name, { delayMs: 1_000, run: tick });
  };
  queue.startTimer(name, { delayMs: queue.random.int(0, 999), run: tick });
  return entry;
}

function recordSample(
  totals: Totals,
  { organisation, entries, atMs }: {
    readonly organisation: OrganisationTraffic;
    readonly entries: ReadonlyMap<string, LimitsEntry>;
    readonly atMs: number;
  },
): void {
  const demands = organisation.demandAt(Math.floor(atMs / 1_000));
  const limit = organisation.requestsPerSecond;
  let heldSum = 0;
  let demandSum = 0;
  organisation.entries.forEach((name, index) => {
    const demand = demands[index]!;
    const share = readUsableShare(entries.get(name)!, { organisation, atMs });
    heldSum += share.requestsPerSecond;
    demandSum += demand;
    totals.usable += Math.min(demand, share.requestsPerSecond);
    totals.usableWithEvenSplit += Math.min(
      demand,
      limit / organisation.entries.length,
    );
  });
  totals.attainable += Math.min(limit, demandSum);
  totals.samples += 1;
  if (heldSum > limit * (1 + 1e-9)) totals.exceeded += 1;
}

function readUsableShare(
  entry: LimitsEntry,
  { organisation, atMs }: {
    readonly organisation: OrganisationTraffic;
    readonly atMs: number;
  },
): LimitShare {
  return computeUsableShare(entry.getHolding(organisation.name), atMs);
}

function createReport(
  totals: Totals,
  { entryCount, meter }: {
    readonly entryCount: number;
    readonly meter: TrafficMeter;
  },
): CaseReport {
  const { mean, busiest } = meter.computeRates(END_MS - WARM_UP_MS, entryCount);
  const controlBound = entryCount === LARGE_ENTRY_COUNT
    ? { bound: MAX_CONTROL_BYTES_PER_SECOND, boundKind: "most" as const }
    : {};
  const figures: readonly BoundedFigure[] = [
    {
      name: `sumOverLimitAt${entryCount}Samples`,
      value: totals.exceeded,
      unit: "samples",
      bound: 0,
      boundKind: "most",
    },
    {
      name: `sumCheckedAt${entryCount}Samples`,
      value: totals.samples,
      unit: "samples",
    },
    {
      name: `usableOfOracleAt${entryCount}Percent`,
      value: toPercent(totals.usable / totals.attainable),
      unit: "%",
      bound: 95,
      boundKind: "least",
    },
    {
      name: `controlPerNodeAt${entryCount}BytesPerSecond`,
      value: Math.round(mean),
      unit: "B/s",
      ...controlBound,
    },
    {
      name: `controlOfBusiestNodeAt${entryCount}BytesPerSecond`,
      value: Math.round(busiest),
      unit: "B/s",
      ...controlBound,
    },
  ];
  return {
    figures,
    baselines: {
      [`evenDivisionUsableAt${entryCount}Percent`]: toPercent(
        totals.usableWithEvenSplit / totals.attainable,
      ),
    },
  };
}

function toPercent(ratio: number): number {
  return Math.round(ratio * 10_000) / 100;
}
