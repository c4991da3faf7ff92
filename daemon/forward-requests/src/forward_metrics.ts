/** Counters and histograms of requests and attempts, and gauges of targets. */

import type { ByteBudget } from "@dandelionbank/collect-bytes";
import type { TransferMeter } from "@dandelionbank/open-http";
import {
  Counter,
  Gauge,
  Histogram,
  type Registry,
} from "@dandelionbank/metrics";

/** Covers plain calls of some milliseconds up to streams of several seconds. */
const LATENCY_BUCKETS_S = [
  0.01,
  0.025,
  0.05,
  0.1,
  0.2,
  0.5,
  1,
  2,
  4,
  8,
] as const;
const MS_PER_S = 1_000;

export interface ForwardMetricsOptions {
  readonly registry: Registry;
  /** Counts the targets with a notice in force, by its kind. */
  readonly countNotices: () => Readonly<Record<string, number>>;
  /** Counts what all targets send. */
  readonly meter: TransferMeter;
  /** Memory of the answers that are kept. */
  readonly answerMemory: ByteBudget;
}

export class ForwardMetrics {
  readonly #requests: Counter<"service" | "outcome">;
  readonly #attempts: Counter<"service" | "result">;
  readonly #continuations: Counter<"service">;
  readonly #firstByte: Histogram<"service">;
  readonly #duration: Histogram<"service">;

  private constructor(
    { registry, countNotices, meter, answerMemory }: ForwardMetricsOptions,
  ) {
    const registers = [registry];
    this.#requests = new Counter({
      name: "dandelionbank_requests_total",
      help: "Requests that have ended, by service and outcome",
      labelNames: ["service", "outcome"],
      registers,
    });
    this.#attempts = new Counter({
      name: "dandelionbank_attempts_total",
      help: "Attempts that have ended, by service and result",
      labelNames: ["service", "result"],
      registers,
    });
    this.#continuations = new Counter({
      name: "dandelionbank_continuations_total",
      help:
        "Attempts to continue an answer of which the caller has received a part",
      labelNames: ["service"],
      registers,
    });
    this.#firstByte = new Histogram({
      name: "dandelionbank_first_byte_seconds",
      help: "Time from a request's arrival to the first byte of its answer",
      labelNames: ["service"],
      buckets: [...LATENCY_BUCKETS_S],
      registers,
    });
    this.#duration = new Histogram({
      name: "dandelionbank_request_duration_seconds",
      help: "Time from a request's arrival to the end of its answer",
      labelNames: ["service"],
      buckets: [...LATENCY_BUCKETS_S],
      registers,
    });
    new Gauge({
      name: "dandelionbank_targets_with_notice",
      help: "Targets that leave, are not to be called yet, or have a limit",
      labelNames: ["kind"],
      registers,
      collect() {
        for (const [kind, count] of Object.entries(countNotices())) {
          this.set({ kind }, count);
        }
      },
    });
    registerTransferMetrics(registry, meter);
    new Gauge({
      name: "dandelionbank_kept_answer_bytes",
      help: "Memory of answers that are kept until they are whole or sent",
      registers,
      collect() {
        this.set(answerMemory.claimedBytes);
      },
    });
  }

  static create(options: ForwardMetricsOptions): ForwardMetrics {
    return new ForwardMetrics(options);
  }

  countAttempt(service: string, result: string): void {
    this.#attempts.inc({ service, result });
  }

  countContinuation(service: string): void {
    this.#continuations.inc({ service });
  }

  recordRequest(
    { service, outcome, firstMs, elapsedMs }: {
      readonly service: string;
      readonly outcome: string;
      readonly firstMs: number | undefined;
      readonly elapsedMs: number;
    },
  ): void {
    this.#requests.inc({ service, outcome });
    this.#duration.observe({ service }, elapsedMs / MS_PER_S);
    if (firstMs === undefined) return;
    this.#firstByte.observe({ service }, firstMs / MS_PER_S);
  }
}

function registerTransferMetrics(
  registry: Registry,
  meter: TransferMeter,
): void {
  const registers = [registry];
  new Counter({
    name: "dandelionbank_target_received_bytes_total",
    help: "Bytes received from targets, with heads and framing",
    registers,
    collect() {
      this.reset();
      this.inc(meter.receivedBytes);
    },
  });
  new Counter({
    name: "dandelionbank_answer_bytes_total",
    help: "Bytes of the bodies of targets' answers",
    registers,
    collect() {
      this.reset();
      this.inc(meter.bodyBytes);
    },
  });
  new Counter({
    name: "dandelionbank_answer_pieces_total",
    help: "Pieces in which the bodies of targets' answers arrived",
    registers,
    collect() {
      this.reset();
      this.inc(meter.bodyPieces);
    },
  });
}
