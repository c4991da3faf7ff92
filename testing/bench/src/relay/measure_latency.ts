/**
 * What the way over entry and agent adds to a completion's time. Calls go in
 * turn to the engine itself and to the entry, in an order that alternates; the
 * added latency is the difference within each pair.
 */

import { build, type Histogram } from "hdr-histogram-js";
import { atMost, type Figure, unbounded } from "../bench.ts";
import {
  completionBody,
  CompletionCaller,
  type CompletionTimes,
} from "./completion_caller.ts";

const WARM_UP_PAIRS = 500;
const PAIRS = 3_000;
const TOKENS = 8;
const MICROSECONDS_PER_MS = 1_000;
const P50_BOUND_MS = 1;
const P99_BOUND_MS = 5;

export interface MeasuredWays {
  readonly directUrl: string;
  readonly entryUrl: string;
  readonly key: string;
  readonly seed: number;
}

export interface LatencyReport {
  readonly figures: readonly Figure[];
  readonly baselines: Readonly<Record<string, number>>;
}

export async function measureLatency(
  { directUrl, entryUrl, key, seed }: MeasuredWays,
): Promise<LatencyReport> {
  const direct = CompletionCaller.create({
    url: directUrl,
    key,
    connections: 1,
  });
  const relayed = CompletionCaller.create({
    url: entryUrl,
    key,
    connections: 1,
  });
  const samples = Samples.create();
  for (let pair = -WARM_UP_PAIRS; pair < PAIRS; pair++) {
    const body = completionBody(`Letter ${seed} ${pair}`, TOKENS);
    const isDirectFirst = pair % 2 === 0;
    const [first, second] = isDirectFirst
      ? [direct, relayed]
      : [relayed, direct];
    const times = [await first.call(body), await second.call(body)] as const;
    const [fromEngine, fromEntry] = isDirectFirst
      ? times
      : [times[1], times[0]];
    if (pair >= 0) samples.add(fromEngine, fromEntry);
  }
  direct.close();
  relayed.close();
  return samples.report();
}

class Samples {
  readonly #firstByte = build();
  readonly #answered = build();
  readonly #direct = build();
  readonly #relayed = build();

  static create(): Samples {
    return new Samples();
  }

  add(direct: CompletionTimes, relayed: CompletionTimes): void {
    record(this.#firstByte, relayed.firstByteMs - direct.firstByteMs);
    record(this.#answered, relayed.answeredMs - direct.answeredMs);
    record(this.#direct, direct.answeredMs);
    record(this.#relayed, relayed.answeredMs);
  }

  report(): LatencyReport {
    return {
      figures: [
        ...describe("addedToFirstByte", this.#firstByte),
        ...describe("addedToAnswer", this.#answered),
        unbounded({
          name: "entryAnsweredP99Ms",
          value: quantile(this.#relayed, 99),
          unit: "ms",
        }),
      ],
      baselines: {
        directAnsweredP50Ms: quantile(this.#direct, 50),
        directAnsweredP99Ms: quantile(this.#direct, 99),
      },
    };
  }
}

/** A pair in which the engine itself was slower adds nothing. */
function record(histogram: Histogram, elapsedMs: number): void {
  const elapsed = Math.round(elapsedMs * MICROSECONDS_PER_MS);
  histogram.recordValue(Math.max(0, elapsed));
}

function quantile(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
}

function describe(name: string, histogram: Histogram): readonly Figure[] {
  const unit = "ms";
  return [
    atMost(
      { name: `${name}P50Ms`, value: quantile(histogram, 50), unit },
      P50_BOUND_MS,
    ),
    atMost(
      { name: `${name}P99Ms`, value: quantile(histogram, 99), unit },
      P99_BOUND_MS,
    ),
  ];
}
