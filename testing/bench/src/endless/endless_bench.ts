/**
 * Latency of calm calls and memory of an entry before, beside and after streams
 * of ten engines that send without end. The entry and those engines have a
 * process each.
 */

import {
  call,
  createConfiguration,
  EntryProgram,
  ROUTE,
  waitFor,
} from "@dandelionbank/run-entry";
import { ChildProgram } from "@dandelionbank/run-site";
import { SiteEngine, SiteStore } from "@dandelionbank/standin-site";
import { build } from "hdr-histogram-js";
import {
  atMost,
  type Bench,
  type BenchReport,
  type Figure,
  unbounded,
} from "../bench.ts";
import { readProcessUsage } from "../process_usage.ts";

export const ENDLESS_BENCH: Bench = { name: "endless", run };

const SCRIPT = "testing/standin-site/dist/run_endless_engines.js";
const ENDLESS_SERVICE = "endless";
const CALM_ENGINE_COUNT = 2;
/** Two for each engine that sends without end. */
const STREAM_COUNT = 20;
const PHASE_MS = 5_000;
const MICROSECONDS_PER_MS = 1_000;
const BYTES_PER_MB = 1_000_000;
const CALM_CALL = { path: "/calm/a" };
const PHASES = ["before", "beside", "after"] as const;

const ROUTES = [
  { ...ROUTE, name: "calm", "path_prefix": "/calm/", type: "idempotent" },
  {
    ...ROUTE,
    name: "endless",
    "path_prefix": "/endless/",
    type: "streaming",
    service: ENDLESS_SERVICE,
    "target_gap_ms": 120,
  },
];

async function run(): Promise<BenchReport> {
  const cleanups: (() => unknown)[] = [];
  const after = (cleanup: () => unknown) => void cleanups.push(cleanup);
  try {
    const entry = await startEntry(after);
    const figures: Figure[] = [];
    for (const phase of PHASES) {
      figures.push(...await measurePhase(entry, phase));
    }
    return { figures, baselines: {} };
  } finally {
    for (const cleanup of cleanups.reverse()) await cleanup();
  }
}

/** An engine's object in the store. */
interface Registration {
  readonly id: string;
  readonly spec: unknown;
}

async function startEntry(
  after: (cleanup: () => unknown) => void,
): Promise<EntryProgram> {
  const store = await SiteStore.create();
  after(() => store.close());
  const configuration = createConfiguration({ routes: ROUTES });
  const [service] = configuration.services;
  const services = [service, { ...service, name: ENDLESS_SERVICE }];
  store.put("config", "main", { ...configuration, services });
  for (let index = 0; index < CALM_ENGINE_COUNT; index++) {
    const engine = await SiteEngine.create(`calm-${index}`);
    after(() => engine.close());
    const spec = engine.createServerSpec({ service: ROUTE.service });
    store.put("servers", engine.id, spec);
  }
  const program = ChildProgram.start("endless engines", {
    script: SCRIPT,
    args: [ENDLESS_SERVICE, "an event"],
  });
  after(() => program.stop("SIGKILL"));
  const { engines } = await program.waitForLine((line) => "engines" in line);
  for (const { id, spec } of engines as readonly Registration[]) {
    store.put("servers", id, spec);
  }
  const entry = await EntryProgram.start({ after }, { store, number: 1 });
  await waitFor(async () => (await call(entry, CALM_CALL)).status === 200);
  return entry;
}

/** Calls the calm route for the phase, one call after another. */
async function measurePhase(
  entry: EntryProgram,
  phase: typeof PHASES[number],
): Promise<readonly Figure[]> {
  const histogram = build();
  const endsAtMs = performance.now() + PHASE_MS;
  const isRunning = () => performance.now() < endsAtMs;
  const streams = phase === "beside" ? runStreams(entry, isRunning) : [];
  let failed = 0;
  let residentBytes = 0;
  while (isRunning()) {
    const { status, elapsedMs } = await call(entry, CALM_CALL);
    histogram.recordValue(Math.round(elapsedMs * MICROSECONDS_PER_MS));
    if (status !== 200) failed += 1;
    residentBytes = Math.max(
      residentBytes,
      readProcessUsage(entry.pid).residentBytes,
    );
  }
  const streamCounts = await Promise.all(streams);
  const p99Ms = histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS;
  const sum = streamCounts.reduce((total, count) => total + count, 0);
  const boundMs = ROUTE["latency_goal_ms"];
  return [
    atMost({ name: `${phase}P99Ms`, value: p99Ms, unit: "ms" }, boundMs),
    atMost({ name: `${phase}Failed`, value: failed, unit: "calls" }, 0),
    unbounded({
      name: `${phase}Calls`,
      value: histogram.totalCount,
      unit: "calls",
    }),
    unbounded({ name: `${phase}Streams`, value: sum, unit: "streams" }),
    unbounded({
      name: `${phase}ResidentMb`,
      value: residentBytes / BYTES_PER_MB,
      unit: "MB",
    }),
  ];
}

/** Starts callers of the engines without end; each counts its calls. */
function runStreams(
  entry: EntryProgram,
  isRunning: () => boolean,
): readonly Promise<number>[] {
  return Array.from({ length: STREAM_COUNT }, async () => {
    let count = 0;
    for (; isRunning(); count++) {
      // The entry cuts the answer, before or after its head.
      await call(entry, { path: "/endless/a" }).catch(() => undefined);
    }
    return count;
  });
}
