/**
 * Latency of calm calls and memory of an entry before, beside and after streams
 * of ten engines that send without end, in several forms and numbers of streams.
 * The entry and the engines of each form have a process each.
 */

import {
  call,
  createConfiguration,
  EntryProgram,
  ROUTE,
  waitFor,
} from "@dandelionbank/run-entry";
import { ChildProgram } from "@dandelionbank/run-site";
import {
  type EndlessFormName,
  SiteEngine,
  SiteStore,
} from "@dandelionbank/standin-site";
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
const CALM_ENGINE_COUNT = 2;
const PHASE_MS = 5_000;
const MICROSECONDS_PER_MS = 1_000;
const BYTES_PER_MB = 1_000_000;
const CALM_CALL = { path: "/calm/a" };
const MEDIAN_PERCENTILE = 50;
const TAIL_PERCENTILE = 99;
/** Memory of the VM of an entry, and the heap limit of the deploy file. */
const MEMORY_LIMIT_MB = 350;
const NODE_ARGS = ["--max-old-space-size=160"];

interface Phase {
  readonly name: string;
  readonly form?: EndlessFormName;
  /** Number of endless streams that run at a time. */
  readonly streamCount: number;
}

const TINY_EVENT = "an event in chunks of one byte";
const TINY_COMMENTS = "comments in chunks of one byte";
const PHASES: readonly Phase[] = [
  { name: "before", streamCount: 0 },
  { name: "besideEvents", form: "an event", streamCount: 20 },
  { name: "beside1TinyEvent", form: TINY_EVENT, streamCount: 1 },
  { name: "beside10TinyEvents", form: TINY_EVENT, streamCount: 10 },
  { name: "beside40TinyEvents", form: TINY_EVENT, streamCount: 40 },
  { name: "beside1TinyComments", form: TINY_COMMENTS, streamCount: 1 },
  { name: "beside10TinyComments", form: TINY_COMMENTS, streamCount: 10 },
  { name: "beside40TinyComments", form: TINY_COMMENTS, streamCount: 40 },
  { name: "after", streamCount: 0 },
];
const FORMS = [
  ...new Set(PHASES.flatMap(({ form }) => form === undefined ? [] : [form])),
];

const CALM_ROUTE = {
  ...ROUTE,
  name: "calm",
  "path_prefix": "/calm/",
  type: "idempotent",
};

function createEndlessRoute(form: EndlessFormName) {
  const service = nameService(form);
  return {
    ...ROUTE,
    name: service,
    "path_prefix": `/${service}/`,
    type: "streaming",
    service,
    "target_gap_ms": 120,
  };
}

function nameService(form: EndlessFormName): string {
  return `endless-${FORMS.indexOf(form)}`;
}

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
  const configuration = createConfiguration({
    routes: [CALM_ROUTE, ...FORMS.map(createEndlessRoute)],
  });
  const [service] = configuration.services;
  const endlessServices = FORMS.map((form) => ({
    ...service,
    name: nameService(form),
  }));
  const services = [service, ...endlessServices];
  store.put("config", "main", { ...configuration, services });
  for (let index = 0; index < CALM_ENGINE_COUNT; index++) {
    const engine = await SiteEngine.create(`calm-${index}`);
    after(() => engine.close());
    const spec = engine.createServerSpec({ service: ROUTE.service });
    store.put("servers", engine.id, spec);
  }
  for (const form of FORMS) await startEngines(after, { store, form });
  const entry = await EntryProgram.start({ after }, {
    store,
    number: 1,
    nodeArgs: NODE_ARGS,
  });
  await waitFor(async () => (await call(entry, CALM_CALL)).status === 200);
  return entry;
}

async function startEngines(
  after: (cleanup: () => unknown) => void,
  { store, form }: {
    readonly store: SiteStore;
    readonly form: EndlessFormName;
  },
): Promise<void> {
  const program = ChildProgram.start("endless engines", {
    script: SCRIPT,
    args: [nameService(form), form],
  });
  after(() => program.stop("SIGKILL"));
  const { engines } = await program.waitForLine((line) => "engines" in line);
  for (const { id, spec } of engines as readonly Registration[]) {
    store.put("servers", id, spec);
  }
}

/** Calls the calm route for the phase, one call after another. */
async function measurePhase(
  entry: EntryProgram,
  phase: Phase,
): Promise<readonly Figure[]> {
  const { name } = phase;
  const histogram = build();
  const endsAtMs = performance.now() + PHASE_MS;
  const isRunning = () => performance.now() < endsAtMs;
  const streams = runStreams(entry, { phase, isRunning });
  const cpuBeforeS = readProcessUsage(entry.pid).cpuSeconds;
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
  const cpuS = readProcessUsage(entry.pid).cpuSeconds - cpuBeforeS;
  const streamCounts = await Promise.all(streams);
  const sum = streamCounts.reduce((total, count) => total + count, 0);
  const readMs = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return [
    unbounded({
      name: `${name}P50Ms`,
      value: readMs(MEDIAN_PERCENTILE),
      unit: "ms",
    }),
    atMost(
      { name: `${name}P99Ms`, value: readMs(TAIL_PERCENTILE), unit: "ms" },
      ROUTE["latency_goal_ms"],
    ),
    atMost({ name: `${name}Failed`, value: failed, unit: "calls" }, 0),
    unbounded({
      name: `${name}Calls`,
      value: histogram.totalCount,
      unit: "calls",
    }),
    unbounded({ name: `${name}Streams`, value: sum, unit: "streams" }),
    unbounded({ name: `${name}CpuS`, value: cpuS, unit: "s" }),
    atMost(
      {
        name: `${name}ResidentMb`,
        value: residentBytes / BYTES_PER_MB,
        unit: "MB",
      },
      MEMORY_LIMIT_MB,
    ),
  ];
}

/** Starts callers of the engines without end; each counts its calls. */
function runStreams(
  entry: EntryProgram,
  { phase: { form, streamCount }, isRunning }: {
    readonly phase: Phase;
    readonly isRunning: () => boolean;
  },
): readonly Promise<number>[] {
  if (form === undefined) return [];
  const path = `/${nameService(form)}/a`;
  return Array.from({ length: streamCount }, async () => {
    let count = 0;
    for (; isRunning(); count++) {
      // The entry cuts the answer, before or after its head.
      await call(entry, { path }).catch(() => undefined);
    }
    return count;
  });
}
