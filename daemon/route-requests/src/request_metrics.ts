/** Metrics of an entry's requests. */

import {
  Counter,
  createViolationCounter,
  Gauge,
  Histogram,
  type Registry,
} from "@dandelionbank/metrics";
import type { OutcomeKind } from "@dandelionbank/types";

const LATENCY_BUCKETS_MS = [
  1,
  2,
  5,
  10,
  20,
  50,
  100,
  200,
  500,
  1_000,
  2_000,
  5_000,
  10_000,
  60_000,
];

export type RequestResult = OutcomeKind | "abandoned" | "merged";

export class RequestMetrics {
  readonly #results: Counter<"outcome">;
  readonly #refusals: Counter<"code">;
  readonly #droppedFrames: Counter<"reason">;
  readonly #violations: Counter<"invariant">;
  readonly #inFlight: Gauge;
  readonly #firstByteMs: Histogram;
  readonly #answeredMs: Histogram;
  readonly #outcomes: Record<OutcomeKind, number> = {
    answered: 0,
    notRun: 0,
    unknown: 0,
    failed: 0,
  };

  private constructor(registry: Registry) {
    const registers = [registry];
    this.#results = new Counter({
      name: "dandelionbank_requests_total",
      help: "Requests by how they ended",
      labelNames: ["outcome"],
      registers,
    });
    this.#refusals = new Counter({
      name: "dandelionbank_refusals_total",
      help: "Requests refused before dispatch, by code",
      labelNames: ["code"],
      registers,
    });
    this.#droppedFrames = new Counter({
      name: "dandelionbank_frames_dropped_total",
      help: "Late, doubled or crossed frames that were not passed on",
      labelNames: ["reason"],
      registers,
    });
    this.#violations = createViolationCounter(registry);
    this.#inFlight = new Gauge({
      name: "dandelionbank_requests_in_flight",
      help: "Requests that have not ended",
      registers,
    });
    this.#firstByteMs = new Histogram({
      name: "dandelionbank_first_byte_ms",
      help: "Time from a request's arrival to the first byte of its answer",
      buckets: LATENCY_BUCKETS_MS,
      registers,
    });
    this.#answeredMs = new Histogram({
      name: "dandelionbank_answered_ms",
      help: "Time from a request's arrival to its whole answer",
      buckets: LATENCY_BUCKETS_MS,
      registers,
    });
  }

  static create(registry: Registry): RequestMetrics {
    return new RequestMetrics(registry);
  }

  /** Returns the number of requests that ended since the start, by outcome. */
  readOutcomes(): Readonly<Record<OutcomeKind, number>> {
    return { ...this.#outcomes };
  }

  countResult(outcome: RequestResult): void {
    this.#results.inc({ outcome });
    if (outcome === "abandoned" || outcome === "merged") return;
    this.#outcomes[outcome] += 1;
  }

  countRefusal(code: string): void {
    this.#refusals.inc({ code });
    this.#outcomes.notRun += 1;
  }

  countDroppedFrame(reason: string): void {
    this.#droppedFrames.inc({ reason });
  }

  countViolation(invariant: string): void {
    this.#violations.inc({ invariant });
  }

  setInFlight(count: number): void {
    this.#inFlight.set(count);
  }

  observeFirstByte(elapsedMs: number): void {
    this.#firstByteMs.observe(elapsedMs);
  }

  observeAnswered(elapsedMs: number): void {
    this.#answeredMs.observe(elapsedMs);
  }
}
