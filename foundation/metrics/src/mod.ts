/** The parts of prom-client that are used, and the metrics of every process. */

export { Counter, Gauge, Histogram, Registry } from "./prom_client.ts";
export { registerProcessMetrics } from "./process_metrics.ts";
export { createViolationCounter } from "./violation_counter.ts";
