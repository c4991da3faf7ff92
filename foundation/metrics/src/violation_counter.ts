/** Counts violations of invariants under the same metric name in every process. */

import { Counter, type Registry } from "./prom_client.ts";

export function createViolationCounter(
  registry: Registry,
): Counter<"invariant"> {
  return new Counter({
    name: "dandelionbank_invariant_violations_total",
    help: "Violations of an invariant, each refused",
    labelNames: ["invariant"],
    registers: [registry],
  });
}
