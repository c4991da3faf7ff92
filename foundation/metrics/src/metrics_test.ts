import assert from "node:assert/strict";
import { createRequire } from "node:module";
import { test } from "node:test";
import { Counter, Histogram, registerProcessMetrics, Registry } from "./mod.ts";

const EXPECTED_LINES: readonly RegExp[] = [
  /^dandelionbank_process_info\{role="entry",name="e1",version="0.1.0"\} 1$/m,
  /^process_start_time_seconds [1-9]/m,
  /^process_resident_memory_bytes [1-9]/m,
  /^nodejs_heap_size_used_bytes [1-9]/m,
  /^process_cpu_seconds_total 0?\.?\d/m,
  /^nodejs_eventloop_lag_max_seconds \d/m,
  /^calls_total\{pool="p"\} 2$/m,
  /^wait_ms_bucket\{le="10"\} 1$/m,
];

test("A registry exposes the metrics of the process and those added to it", async () => {
  const registry = new Registry();
  const registers = [registry];
  registerProcessMetrics(registry, {
    role: "entry",
    name: "e1",
    version: "0.1.0",
  });
  const calls = new Counter({
    name: "calls_total",
    help: "Calls",
    labelNames: ["pool"],
    registers,
  });
  calls.inc({ pool: "p" }, 2);
  const wait = new Histogram({
    name: "wait_ms",
    help: "Wait",
    buckets: [10, 100],
    registers,
  });
  wait.observe(7);
  await registry.metrics();
  const text = await registry.metrics();
  for (const pattern of EXPECTED_LINES) assert.match(text, pattern);
});

test("The parts of prom-client that need much memory are not loaded", () => {
  const loaded = Object.keys(createRequire(import.meta.url).cache);
  const unwanted = loaded.filter((path) =>
    /opentelemetry|prom-client\/(index|lib\/(cluster|pushgateway|defaultMetrics))/
      .test(path)
  );
  assert.ok(loaded.some((path) => path.includes("prom-client/lib/registry")));
  assert.deepEqual(unwanted, []);
});
