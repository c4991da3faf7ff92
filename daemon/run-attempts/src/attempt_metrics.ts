/** Metrics of an agent's attempts. */

import {
  Counter,
  createViolationCounter,
  Gauge,
  type Registry,
} from "@dandelionbank/metrics";

export type AttemptResult = "answered" | "failed" | "refused" | "repeated";

export class AttemptMetrics {
  readonly #results: Counter<"result" | "code">;
  readonly #violations: Counter<"invariant">;
  readonly #inFlight: Gauge;

  private constructor(registry: Registry) {
    const registers = [registry];
    this.#results = new Counter({
      name: "dandelionbank_attempts_total",
      help: "Attempts by how they ended",
      labelNames: ["result", "code"],
      registers,
    });
    this.#violations = createViolationCounter(registry);
    this.#inFlight = new Gauge({
      name: "dandelionbank_attempts_in_flight",
      help: "Attempts that run on the target",
      registers,
    });
  }

  static create(registry: Registry): AttemptMetrics {
    return new AttemptMetrics(registry);
  }

  countResult(result: AttemptResult, code = ""): void {
    this.#results.inc({ result, code });
  }

  countViolation(invariant: string): void {
    this.#violations.inc({ invariant });
  }

  setInFlight(count: number): void {
    this.#inFlight.set(count);
  }
}
