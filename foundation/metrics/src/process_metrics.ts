/**
 * Metrics of every process, under the names that Prometheus clients commonly use.
 * Names, labels and help texts are part of the interface and stay the same.
 */

import { monitorEventLoopDelay } from "node:perf_hooks";
import { Counter, Gauge, type Registry } from "./prom_client.ts";

const MICROSECONDS_PER_SECOND = 1_000_000;
const NANOSECONDS_PER_SECOND = 1_000_000_000;
const EVENT_LOOP_RESOLUTION_MS = 20;

export interface ProcessIdentity {
  readonly role: string;
  readonly name: string;
  readonly version: string;
}

/** Registers the metrics of this process. Each is read when it is scraped. */
export function registerProcessMetrics(
  registry: Registry,
  identity: ProcessIdentity,
): void {
  registerIdentity(registry, identity);
  registerMemory(registry);
  registerCpu(registry);
  registerEventLoop(registry);
}

function registerIdentity(
  registry: Registry,
  { role, name, version }: ProcessIdentity,
): void {
  const info = new Gauge({
    name: "dandelionbank_process_info",
    help: "1, labelled with what the process is",
    labelNames: ["role", "name", "version"],
    registers: [registry],
  });
  info.set({ role, name, version }, 1);
  const start = new Gauge({
    name: "process_start_time_seconds",
    help: "Start time of the process in seconds since 1970",
    registers: [registry],
  });
  start.set(Date.now() / 1_000 - process.uptime());
}

function registerMemory(registry: Registry): void {
  new Gauge({
    name: "process_resident_memory_bytes",
    help: "Resident memory",
    registers: [registry],
    collect() {
      this.set(process.memoryUsage.rss());
    },
  });
  new Gauge({
    name: "nodejs_heap_size_used_bytes",
    help: "Heap in use",
    registers: [registry],
    collect() {
      this.set(process.memoryUsage().heapUsed);
    },
  });
  new Gauge({
    name: "nodejs_external_memory_bytes",
    help: "Memory outside the heap that objects hold, such as buffers",
    registers: [registry],
    collect() {
      this.set(process.memoryUsage().external);
    },
  });
}

function registerCpu(registry: Registry): void {
  new Counter({
    name: "process_cpu_seconds_total",
    help: "User and system processor time",
    registers: [registry],
    collect() {
      const { user, system } = process.cpuUsage();
      this.reset();
      this.inc((user + system) / MICROSECONDS_PER_SECOND);
    },
  });
}

function registerEventLoop(registry: Registry): void {
  const delay = monitorEventLoopDelay({ resolution: EVENT_LOOP_RESOLUTION_MS });
  delay.enable();
  new Gauge({
    name: "nodejs_eventloop_lag_max_seconds",
    help: "Largest delay of the event loop since the last scrape",
    registers: [registry],
    collect() {
      this.set(delay.max / NANOSECONDS_PER_SECOND);
      delay.reset();
    },
  });
}
