/**
 * The time from a change's acceptance until every process knows it, what that
 * costs in control traffic and in calls of the platform, healthy and with one
 * process in a hundred frozen for a second. The baseline has every process
 * read the platform itself every two seconds.
 */

import { MessageQueue } from "@dandelionbank/message-queue";
import type { ViewMessage } from "@dandelionbank/types";
import {
  type Bench,
  type BenchReport,
  type BoundedFigure,
  judgeFigure,
} from "../bench.ts";
import { TrafficMeter } from "../traffic_meter.ts";
import { PlatformFake } from "./platform_fake.ts";
import { SpreadNode } from "./spread_node.ts";

const CONTRACTS = 450;
const CHANGES = 200;
const CHANGE_EVERY_MS = 1_700;
const SETTLED_MS = 15_000;
const END_MS = SETTLED_MS + CHANGES * CHANGE_EVERY_MS + 20_000;
const TICK_MS = 250;
const FREEZE_MS = 1_000;
const POLL_MS = 2_000;
interface CaseReport {
  readonly figures: readonly BoundedFigure[];
  readonly baselines: BenchReport["baselines"];
}

const CONTROL_BYTES_PER_SECOND = 4_096;

interface Case {
  readonly name: string;
  readonly size: number;
  readonly frozenShare: number;
  readonly boundMs: number;
}

const CASES: readonly Case[] = [
  { name: "At6", size: 6, frozenShare: 0, boundMs: 2_000 },
  { name: "At340", size: 340, frozenShare: 0, boundMs: 2_000 },
  { name: "At340Frozen", size: 340, frozenShare: 0.01, boundMs: 11_000 },
];

export const CONFIG_SPREAD_BENCH: Bench = {
  name: "config-spread",
  run({ seed }): Promise<BenchReport> {
    const results = CASES.map((one) => measure(seed, one));
    return Promise.resolve({
      figures: results.flatMap(({ figures }) => figures.map(judgeFigure)),
      baselines: Object.assign({}, ...results.map((r) => r.baselines)),
    });
  },
};

function measure(seed: number, one: Case): CaseReport {
  const queue = MessageQueue.create<ViewMessage>({
    seed,
    faults: { minDelayMs: 1, maxDelayMs: 4 },
  });
  const meter = TrafficMeter.create();
  const names = Array.from({ length: one.size }, (_, i) => `entry-${i}`);
  const nodes = new Map<string, SpreadNode>();
  const platform = PlatformFake.create({
    queue,
    contracts: CONTRACTS,
    deliver: (name, delta) => nodes.get(name)?.watched(delta),
  });
  names.forEach((name, turn) => {
    nodes.set(name, startNode(name, { turn, names, queue, platform, meter }));
  });
  const spreadMs = new SpreadTimes(one.size);
  for (const node of nodes.values()) {
    node.onAdvanced = (revision) => spreadMs.note(revision, queue.nowMs);
  }
  queue.runAt(SETTLED_MS, () => {
    meter.counting = true;
    platform.counting = true;
  });
  for (let change = 0; change < CHANGES; change++) {
    queue.runAt(SETTLED_MS + change * CHANGE_EVERY_MS, () => {
      freezeSome(queue, { names, share: one.frozenShare });
      spreadMs.begin(platform.change(), queue.nowMs);
    });
  }
  queue.runUntilQuiet({ limitMs: END_MS });
  return report(one, { spreadMs, meter, platform });
}

function startNode(
  name: string,
  { turn, names, queue, platform, meter }: {
    readonly turn: number;
    readonly names: readonly string[];
    readonly queue: MessageQueue<ViewMessage>;
    readonly platform: PlatformFake;
    readonly meter: TrafficMeter;
  },
): SpreadNode {
  const node = SpreadNode.create({
    name,
    turn,
    entries: names,
    nowMs: () => queue.nowMs,
    platform,
    post: (to, message) => {
      meter.count(name, message);
      queue.post({ from: name, to }, message);
    },
  });
  queue.start(name, node);
  const tick = () => {
    node.tick();
    queue.startTimer(name, { delayMs: TICK_MS, run: tick });
  };
  queue.startTimer(name, { delayMs: queue.random.int(0, TICK_MS), run: tick });
  return node;
}

function freezeSome(
  queue: MessageQueue<ViewMessage>,
  { names, share }: {
    readonly names: readonly string[];
    readonly share: number;
  },
): void {
  for (let i = 0; i < Math.ceil(names.length * share); i++) {
    const name = queue.random.pick(names);
    queue.freeze(name);
    queue.runAt(queue.nowMs + FREEZE_MS, () => queue.thaw(name));
  }
}

/** For each change, when the last process learned it. */
class SpreadTimes {
  readonly #size: number;
  readonly #begun: { readonly revision: number; readonly atMs: number }[] = [];
  readonly #known = new Map<number, number>();
  readonly #tookMs: number[] = [];

  constructor(size: number) {
    this.#size = size;
  }

  begin(revision: number, atMs: number): void {
    this.#begun.push({ revision, atMs });
  }

  /** A process came to a revision, and so knows every change up to it. */
  note(revision: number, nowMs: number): void {
    for (const change of this.#begun) {
      if (change.revision > revision) return;
      const known = (this.#known.get(change.revision) ?? 0) + 1;
      this.#known.set(change.revision, known);
      if (known === this.#size) this.#tookMs.push(nowMs - change.atMs);
    }
  }

  get unfinished(): number {
    return this.#begun.length - this.#tookMs.length;
  }

  percentileMs(part: number): number {
    const sorted = [...this.#tookMs].sort((left, right) => left - right);
    return sorted[Math.ceil(sorted.length * part) - 1] ?? Infinity;
  }
}

function report(
  one: Case,
  { spreadMs, meter, platform }: {
    readonly spreadMs: SpreadTimes;
    readonly meter: TrafficMeter;
    readonly platform: PlatformFake;
  },
): CaseReport {
  const durationMs = END_MS - SETTLED_MS;
  const { mean, busiest } = meter.ratesOver(durationMs, one.size);
  const figures: readonly BoundedFigure[] = [
    {
      name: `everywhereP99${one.name}Ms`,
      value: spreadMs.percentileMs(0.99),
      unit: "ms",
      bound: one.boundMs,
      boundKind: "most",
    },
    {
      name: `everywhereP50${one.name}Ms`,
      value: spreadMs.percentileMs(0.5),
      unit: "ms",
    },
    {
      name: `notEverywhere${one.name}Changes`,
      value: spreadMs.unfinished,
      unit: "changes",
      bound: 0,
      boundKind: "most",
    },
    {
      name: `platform${one.name}CallsPerSecond`,
      value: Math.round(platform.calls * 100_000 / durationMs) / 100,
      unit: "1/s",
      bound: 2_000,
      boundKind: "most",
    },
    {
      name: `controlPerNode${one.name}BytesPerSecond`,
      value: Math.round(mean),
      unit: "B/s",
      bound: CONTROL_BYTES_PER_SECOND,
      boundKind: "most",
    },
    {
      name: `controlOfBusiestNode${one.name}BytesPerSecond`,
      value: Math.round(busiest),
      unit: "B/s",
      bound: CONTROL_BYTES_PER_SECOND,
      boundKind: "most",
    },
  ];
  return {
    figures,
    baselines: {
      [`allPoll${one.name}CallsPerSecond`]: one.size * 1_000 / POLL_MS,
    },
  };
}
