/** Metrics by prom-client, loaded narrowly. */

export { Counter, Gauge, Histogram, Registry } from "./prom_client.ts";
export { registerProcessMetrics } from "./process_metrics.ts";
export { createViolationCounter } from "./violation_counter.ts";
