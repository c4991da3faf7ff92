/**
 * Token chunks that one entry relays per second, with one token per chunk and
 * with more engines and agents than the entry can saturate. The processor time
 * of each process shows which of them is the bottleneck.
 */

import type { Site } from "@dandelionbank/run-site";
import { atLeast, type Figure, unbounded } from "../bench.ts";
import { CompletionCaller, createCompletionBody } from "./completion_caller.ts";
import { readProcessUsage } from "../process_usage.ts";

const MIN_CHUNKS_PER_SECOND = 20_000;
/** Number of concurrent streams. */
const STREAMS = 96;
const TOKENS_PER_ANSWER = 256;
const WARM_UP_MS = 4_000;
const WINDOW_MS = 10_000;
const MS_PER_SECOND = 1_000;

interface ProcessIds {
  readonly entry: number;
  readonly agents: readonly number[];
  readonly engines: readonly number[];
}

/** Counters at one time; processor times count from the start of each process. */
interface CounterSample {
  readonly atMs: number;
  /** Streamed events received by the callers. */
  readonly events: number;
  readonly entryCpuSeconds: number;
  /** Of the agent that used most. */
  readonly agentCpuSeconds: number;
  /** Of the engine that used most. */
  readonly engineCpuSeconds: number;
  /** Of this process, which generates the load. */
  readonly loadCpuSeconds: number;
}

export async function measureThroughput(
  site: Site,
  options: { readonly entry: string; readonly seed: number },
): Promise<readonly Figure[]> {
  const caller = CompletionCaller.create({
    url: site.getEntryUrl(options.entry),
    key: site.callerKey,
    connections: STREAMS,
  });
  const processes = findProcesses(site, options.entry);
  let isStopped = false;
  const streams = Array.from({ length: STREAMS }, async (_, stream) => {
    for (let call = 0; !isStopped; call++) {
      const prompt = `Letter ${options.seed} ${stream} ${call}`;
      await caller.call(createCompletionBody(prompt, TOKENS_PER_ANSWER));
    }
  });
  const allStreams = Promise.all(streams);
  await Promise.race([wait(WARM_UP_MS), allStreams]);
  const before = readCounters(processes, caller);
  await Promise.race([wait(WINDOW_MS), allStreams]);
  const after = readCounters(processes, caller);
  isStopped = true;
  await allStreams;
  caller.close();
  return createFigures(before, after);
}

function findProcesses(site: Site, entry: string): ProcessIds {
  const agents = [...site.agents]
    .filter(([name]) => name.startsWith("chat-"))
    .map(([, { pid }]) => pid);
  const engines = [...site.standins.values()]
    .filter(({ name }) => name.startsWith("engine"))
    .map(({ pid }) => pid);
  return { entry: site.entries.get(entry)?.pid ?? 0, agents, engines };
}

function readCounters(
  processes: ProcessIds,
  caller: CompletionCaller,
): CounterSample {
  const readCpuSeconds = (pid: number): number =>
    readProcessUsage(pid).cpuSeconds;
  return {
    atMs: performance.now(),
    events: caller.events,
    entryCpuSeconds: readCpuSeconds(processes.entry),
    agentCpuSeconds: Math.max(...processes.agents.map(readCpuSeconds)),
    engineCpuSeconds: Math.max(...processes.engines.map(readCpuSeconds)),
    loadCpuSeconds: readCpuSeconds(process.pid),
  };
}

function createFigures(
  before: CounterSample,
  after: CounterSample,
): readonly Figure[] {
  const seconds = (after.atMs - before.atMs) / MS_PER_SECOND;
  const chunks = after.events - before.events;
  const createCpuFigure = (name: string, cpuSeconds: number): Figure =>
    unbounded({ name, value: cpuSeconds / seconds, unit: "cores" });
  const entryCpuSeconds = after.entryCpuSeconds - before.entryCpuSeconds;
  return [
    atLeast(
      {
        name: "relayedChunksPerSecond",
        value: chunks / seconds,
        unit: "chunks/s",
      },
      MIN_CHUNKS_PER_SECOND,
    ),
    unbounded({
      name: "entryCpuMicrosecondsPerChunk",
      value: entryCpuSeconds / chunks * 1e6,
      unit: "us",
    }),
    createCpuFigure("entryCpuCores", entryCpuSeconds),
    createCpuFigure(
      "busiestAgentCpuCores",
      after.agentCpuSeconds - before.agentCpuSeconds,
    ),
    createCpuFigure(
      "busiestEngineCpuCores",
      after.engineCpuSeconds - before.engineCpuSeconds,
    ),
    createCpuFigure(
      "loadGeneratorCpuCores",
      after.loadCpuSeconds - before.loadCpuSeconds,
    ),
  ];
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
