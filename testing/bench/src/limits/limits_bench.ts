/**
 * How much of each contract's limit can be used where the requests are, what
 * the exchange of shares costs, and whether the sum held ever exceeds a limit.
 * The baseline is the even division without any exchange; the oracle knows the
 * demand of every entry and moves shares at once.
 */

import { computeUsableShare } from "@dandelionbank/grant-allowances";
import { MessageQueue } from "@dandelionbank/message-queue";
import type { AllowanceMessage, LimitShare } from "@dandelionbank/types";
import {
  type Bench,
  type BenchReport,
  type BoundedFigure,
  judgeFigure,
} from "../bench.ts";
import { TrafficMeter } from "../traffic_meter.ts";
import { LimitsEntry } from "./limits_entry.ts";
import { createTraffic } from "./limit_traffic.ts";
import type { OrganisationTraffic } from "./limit_traffic.ts";

const ORGANISATIONS = 450;
const LARGE_SIZE = 340;
const SIZES = [6, LARGE_SIZE];
const SETTLED_MS = 15_000;
const END_MS = 135_000;
const SAMPLE_MS = 500;
interface CaseReport {
  readonly figures: readonly BoundedFigure[];
  readonly baselines: BenchReport["baselines"];
}

const CONTROL_BYTES_PER_SECOND = 4_096;

export const LIMITS_BENCH: Bench = {
  name: "limits",
  run({ seed }): Promise<BenchReport> {
    const results = SIZES.map((size) => measure(seed, size));
    return Promise.resolve({
      figures: results.flatMap(({ figures }) => figures.map(judgeFigure)),
      baselines: Object.assign({}, ...results.map((r) => r.baselines)),
    });
  },
};

interface Totals {
  possible: number;
  usable: number;
  usableEvenly: number;
  samples: number;
  exceeded: number;
}

function measure(seed: number, size: number): CaseReport {
  const queue = MessageQueue.create<AllowanceMessage>({
    seed,
    faults: { minDelayMs: 1, maxDelayMs: 4 },
  });
  const names = Array.from({ length: size }, (_, index) => `entry-${index}`);
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
    possible: 0,
    usable: 0,
    usableEvenly: 0,
    samples: 0,
    exceeded: 0,
  };
  for (let atMs = SETTLED_MS; atMs < END_MS; atMs += SAMPLE_MS) {
    queue.runAt(atMs, () => {
      meter.counting = true;
      for (const one of traffic) sample(totals, { one, entries, atMs });
    });
  }
  queue.runUntilQuiet({ limitMs: END_MS });
  return report(totals, { size, meter });
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
      if (to !== name) meter.count(name, message);
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

function sample(
  totals: Totals,
  { one, entries, atMs }: {
    readonly one: OrganisationTraffic;
    readonly entries: ReadonlyMap<string, LimitsEntry>;
    readonly atMs: number;
  },
): void {
  const demands = one.demandAt(Math.floor(atMs / 1_000));
  const limit = one.requestsPerSecond;
  let held = 0;
  let wanted = 0;
  one.entries.forEach((name, index) => {
    const demand = demands[index]!;
    const share = shareOf(entries.get(name)!, { one, atMs });
    held += share.requestsPerSecond;
    wanted += demand;
    totals.usable += Math.min(demand, share.requestsPerSecond);
    totals.usableEvenly += Math.min(demand, limit / one.entries.length);
  });
  totals.possible += Math.min(limit, wanted);
  totals.samples += 1;
  if (held > limit * (1 + 1e-9)) totals.exceeded += 1;
}

function shareOf(
  entry: LimitsEntry,
  { one, atMs }: {
    readonly one: OrganisationTraffic;
    readonly atMs: number;
  },
): LimitShare {
  return computeUsableShare(entry.holdingOf(one.name), atMs);
}

function report(
  totals: Totals,
  { size, meter }: { readonly size: number; readonly meter: TrafficMeter },
): CaseReport {
  const { mean, busiest } = meter.ratesOver(END_MS - SETTLED_MS, size);
  const controlBound = size === LARGE_SIZE
    ? { bound: CONTROL_BYTES_PER_SECOND, boundKind: "most" as const }
    : {};
  const figures: readonly BoundedFigure[] = [
    {
      name: `sumOverLimitAt${size}Samples`,
      value: totals.exceeded,
      unit: "samples",
      bound: 0,
      boundKind: "most",
    },
    {
      name: `sumCheckedAt${size}Samples`,
      value: totals.samples,
      unit: "samples",
    },
    {
      name: `usableOfOracleAt${size}Percent`,
      value: percent(totals.usable / totals.possible),
      unit: "%",
      bound: 95,
      boundKind: "least",
    },
    {
      name: `controlPerNodeAt${size}BytesPerSecond`,
      value: Math.round(mean),
      unit: "B/s",
      ...controlBound,
    },
    {
      name: `controlOfBusiestNodeAt${size}BytesPerSecond`,
      value: Math.round(busiest),
      unit: "B/s",
      ...controlBound,
    },
  ];
  return {
    figures,
    baselines: {
      [`evenDivisionUsableAt${size}Percent`]: percent(
        totals.usableEvenly / totals.possible,
      ),
    },
  };
}

function percent(part: number): number {
  return Math.round(part * 10_000) / 100;
}
