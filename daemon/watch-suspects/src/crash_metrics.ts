/** Counters of crashed targets and of the requests that were lost with them. */

import { Counter, Gauge, type Registry } from "@dandelionbank/metrics";

export class CrashMetrics {
  readonly #registry: Registry;
  readonly #targetsDown: Counter;
  readonly #lostRequests: Counter;

  private constructor(registry: Registry) {
    const registers = [registry];
    this.#registry = registry;
    this.#targetsDown = new Counter({
      name: "dandelionbank_targets_down_total",
      help: "Targets that accepted no connection or left the store unannounced",
      registers,
    });
    this.#lostRequests = new Counter({
      name: "dandelionbank_requests_lost_with_targets_total",
      help:
        "Requests at this entry whose answers were lost when targets crashed",
      registers,
    });
  }

  static create(registry: Registry): CrashMetrics {
    return new CrashMetrics(registry);
  }

  /** Serves the number of prompt parts whose requests are refused. */
  watchQuarantinedParts(count: () => number): void {
    new Gauge({
      name: "dandelionbank_quarantined_prompt_parts",
      help:
        "Prompt parts whose requests are refused because they crash targets",
      registers: [this.#registry],
      collect() {
        this.set(count());
      },
    });
  }

  countTargetDown(): void {
    this.#targetsDown.inc();
  }

  countLostRequests(count: number): void {
    this.#lostRequests.inc(count);
  }
}
