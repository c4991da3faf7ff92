/**
 * Latency that entry and agent add to a completion. Each pair of calls goes to
 * the engine directly and to the entry, in alternating order; the added latency
 * is the difference within a pair.
 */

import { build, type Histogram } from "hdr-histogram-js";
import { atMost, type Figure, unbounded } from "../bench.ts";
import {
  CompletionCaller,
  type CompletionTimes,
  createCompletionBody,
} from "./completion_caller.ts";

const WARM_UP_PAIRS = 500;
const PAIRS = 3_000;
const TOKENS_PER_ANSWER = 8;
const MICROSECONDS_PER_MS = 1_000;
const P50_BOUND_MS = 1;
const P99_BOUND_MS = 5;

export interface LatencyOptions {
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
  { directUrl, entryUrl, key, seed }: LatencyOptions,
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
    const body = createCompletionBody(
      `Letter ${seed} ${pair}`,
      TOKENS_PER_ANSWER,
    );
    const isDirectFirst = pair % 2 === 0;
    const [first, second] = isDirectFirst
      ? [direct, relayed]
      : [relayed, direct];
    const pairTimes = [
      await first.call(body),
      await second.call(body),
    ] as const;
    const [fromEngine, fromEntry] = isDirectFirst
      ? pairTimes
      : [pairTimes[1], pairTimes[0]];
    if (pair >= 0) samples.add(fromEngine, fromEntry);
  }
  direct.close();
  relayed.close();
  return samples.report();
}

/** Histograms of times in microseconds. */
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
        ...createFigures("addedToFirstByte", this.#firstByte),
        ...createFigures("addedToAnswer", this.#answered),
        unbounded({
          name: "entryAnsweredP99Ms",
          value: readPercentileMs(this.#relayed, 99),
          unit: "ms",
        }),
      ],
      baselines: {
        directAnsweredP50Ms: readPercentileMs(this.#direct, 50),
        directAnsweredP99Ms: readPercentileMs(this.#direct, 99),
      },
    };
  }
}

/** Records a time; 0 for the difference of a pair whose direct call was slower. */
function record(histogram: Histogram, elapsedMs: number): void {
  const elapsed = Math.round(elapsedMs * MICROSECONDS_PER_MS);
  histogram.recordValue(Math.max(0, elapsed));
}

function readPercentileMs(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
}

function createFigures(name: string, histogram: Histogram): readonly Figure[] {
  const unit = "ms";
  return [
    atMost(
      { name: `${name}P50Ms`, value: readPercentileMs(histogram, 50), unit },
      P50_BOUND_MS,
    ),
    atMost(
      { name: `${name}P99Ms`, value: readPercentileMs(histogram, 99), unit },
      P99_BOUND_MS,
    ),
  ];
}
