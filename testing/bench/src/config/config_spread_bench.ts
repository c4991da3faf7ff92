/**
 * Time from the acceptance of a configuration change until every process has
 * it, and the control traffic and platform calls that this takes. Measured with
 * all processes healthy, and with 1 % of them frozen for a second at each
 * change. In the baseline every process polls the platform every two seconds.
 */

import { MessageQueue } from "@dandelionbank/message-queue";
import type { ViewMessage } from "@dandelionbank/types";
import {
  type Bench,
  type BenchReport,
  type BoundedFigure,
  evaluateFigure,
} from "../bench.ts";
import { TrafficMeter } from "../traffic_meter.ts";
import { FakePlatform } from "./platform_fake.ts";
import { SpreadNode } from "./spread_node.ts";

const CONTRACTS = 450;
const CHANGES = 200;
const CHANGE_INTERVAL_MS = 1_700;
const WARM_UP_MS = 15_000;
const END_MS = WARM_UP_MS + CHANGES * CHANGE_INTERVAL_MS + 20_000;
const TICK_INTERVAL_MS = 250;
const FREEZE_DURATION_MS = 1_000;
const POLL_INTERVAL_MS = 2_000;
const MAX_CONTROL_BYTES_PER_SECOND = 4_096;

interface CaseReport {
  readonly figures: readonly BoundedFigure[];
  readonly baselines: BenchReport["baselines"];
}

interface BenchCase {
  /** Part of the figures' names. */
  readonly name: string;
  readonly processCount: number;
  /** Fraction of the processes that are frozen for a while at each change. */
  readonly frozenRatio: number;
  /** Bound of the time in which 99 % of the changes reach every process. */
  readonly boundMs: number;
}

const CASES: readonly BenchCase[] = [
  { name: "At6", processCount: 6, frozenRatio: 0, boundMs: 2_000 },
  { name: "At340", processCount: 340, frozenRatio: 0, boundMs: 2_000 },
  {
    name: "At340Frozen",
    processCount: 340,
    frozenRatio: 0.01,
    boundMs: 11_000,
  },
];

export const CONFIG_SPREAD_BENCH: Bench = {
  name: "config-spread",
  run({ seed }): Promise<BenchReport> {
    const results = CASES.map((benchCase) => runCase(seed, benchCase));
    return Promise.resolve({
      figures: results.flatMap(({ figures }) => figures.map(evaluateFigure)),
      baselines: Object.assign(
        {},
        ...results.map((result) => result.baselines),
      ),
    });
  },
};

function runCase(seed: number, benchCase: BenchCase): CaseReport {
  const queue = MessageQueue.create<ViewMessage>({
    seed,
    faults: { minDelayMs: 1, maxDelayMs: 4 },
  });
  const meter = TrafficMeter.create();
  const names = Array.from(
    { length: benchCase.processCount },
    (_, i) => `entry-${i}`,
  );
  const nodes = new Map<string, SpreadNode>();
  const platform = FakePlatform.create({
    queue,
    contracts: CONTRACTS,
    deliver: (name, delta) => nodes.get(name)?.applyWatchDelta(delta),
  });
  names.forEach((name, index) => {
    nodes.set(name, startNode(name, { index, names, queue, platform, meter }));
  });
  const propagation = new PropagationTimes(benchCase.processCount);
  for (const node of nodes.values()) {
    node.onRevision = (revision) =>
      propagation.recordRevision(revision, queue.nowMs);
  }
  queue.runAt(WARM_UP_MS, () => {
    meter.isCounting = true;
    platform.isCounting = true;
  });
  for (let change = 0; change < CHANGES; change++) {
    queue.runAt(WARM_UP_MS + change * CHANGE_INTERVAL_MS, () => {
      freezeRandomNodes(queue, { names, ratio: benchCase.frozenRatio });
      propagation.recordChange(platform.changeRandomContract(), queue.nowMs);
    });
  }
  queue.runUntilQuiet({ limitMs: END_MS });
  return createReport(benchCase, { propagation, meter, platform });
}

function startNode(
  name: string,
  { index, names, queue, platform, meter }: {
    readonly index: number;
    readonly names: readonly string[];
    readonly queue: MessageQueue<ViewMessage>;
    readonly platform: FakePlatform;
    readonly meter: TrafficMeter;
  },
): SpreadNode {
  const node = SpreadNode.create({
    name,
    index,
    entries: names,
    nowMs: () => queue.nowMs,
    platform,
    post: (to, message) => {
      meter.countMessage(name, message);
      queue.post({ from: name, to }, message);
    },
  });
  queue.start(name, node);
  const tick = () => {
    node.tick();
    queue.startTimer(name, { delayMs: TICK_INTERVAL_MS, run: tick });
  };
  queue.startTimer(name, {
    delayMs: queue.random.int(0, TICK_INTERVAL_MS),
    run: tick,
  });
  return node;
}

function freezeRandomNodes(
  queue: MessageQueue<ViewMessage>,
  { names, ratio }: {
    readonly names: readonly string[];
    readonly ratio: number;
  },
): void {
  for (let i = 0; i < Math.ceil(names.length * ratio); i++) {
    const name = queue.random.pick(names);
    queue.freeze(name);
    queue.runAt(queue.nowMs + FREEZE_DURATION_MS, () => queue.thaw(name));
  }
}

/** Measures for each change the time until the last process has received it. */
class PropagationTimes {
  readonly #processCount: number;
  readonly #changes: { readonly revision: number; readonly atMs: number }[] =
    [];
  readonly #reachedCounts = new Map<number, number>();
  readonly #durationsMs: number[] = [];

  constructor(processCount: number) {
    this.#processCount = processCount;
  }

  recordChange(revision: number, atMs: number): void {
    this.#changes.push({ revision, atMs });
  }

  /** Records that a process reached a revision and so has every change up to it. */
  recordRevision(revision: number, nowMs: number): void {
    for (const change of this.#changes) {
      if (change.revision > revision) return;
      const reachedCount = (this.#reachedCounts.get(change.revision) ?? 0) + 1;
      this.#reachedCounts.set(change.revision, reachedCount);
      if (reachedCount === this.#processCount) {
        this.#durationsMs.push(nowMs - change.atMs);
      }
    }
  }

  get incompleteCount(): number {
    return this.#changes.length - this.#durationsMs.length;
  }

  computeQuantileMs(quantile: number): number {
    const sorted = [...this.#durationsMs].sort((left, right) => left - right);
    return sorted[Math.ceil(sorted.length * quantile) - 1] ?? Infinity;
  }
}

function createReport(
  benchCase: BenchCase,
  { propagation, meter, platform }: {
    readonly propagation: PropagationTimes;
    readonly meter: TrafficMeter;
    readonly platform: FakePlatform;
  },
): CaseReport {
  const durationMs = END_MS - WARM_UP_MS;
  const { mean, busiest } = meter.computeRates(
    durationMs,
    benchCase.processCount,
  );
  const figures: readonly BoundedFigure[] = [
    {
      name: `everywhereP99${benchCase.name}Ms`,
      value: propagation.computeQuantileMs(0.99),
      unit: "ms",
      bound: benchCase.boundMs,
      boundKind: "most",
    },
    {
      name: `everywhereP50${benchCase.name}Ms`,
      value: propagation.computeQuantileMs(0.5),
      unit: "ms",
    },
    {
      name: `notEverywhere${benchCase.name}Changes`,
      value: propagation.incompleteCount,
      unit: "changes",
      bound: 0,
      boundKind: "most",
    },
    {
      name: `platform${benchCase.name}CallsPerSecond`,
      value: Math.round(platform.calls * 100_000 / durationMs) / 100,
      unit: "1/s",
      bound: 2_000,
      boundKind: "most",
    },
    {
      name: `controlPerNode${benchCase.name}BytesPerSecond`,
      value: Math.round(mean),
      unit: "B/s",
      bound: MAX_CONTROL_BYTES_PER_SECOND,
      boundKind: "most",
    },
    {
      name: `controlOfBusiestNode${benchCase.name}BytesPerSecond`,
      value: Math.round(busiest),
      unit: "B/s",
      bound: MAX_CONTROL_BYTES_PER_SECOND,
      boundKind: "most",
    },
  ];
  return {
    figures,
    baselines: {
      [`allPoll${benchCase.name}CallsPerSecond`]: benchCase.processCount *
        1_000 /
        POLL_INTERVAL_MS,
    },
  };
}
