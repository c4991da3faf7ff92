/**
 * Token chunks that one entry relays in a second, each token in a chunk of its
 * own, with more engines and agents than it can use up. The processor time of each process says which of them is
 * the bottleneck.
 */

import type { Site } from "@dandelionbank/run-site";
import { atLeast, type Figure, unbounded } from "../bench.ts";
import { completionBody, CompletionCaller } from "./completion_caller.ts";
import { readUsage } from "./process_usage.ts";

const BOUND_CHUNKS_PER_SECOND = 20_000;
const STREAMS = 96;
const TOKENS = 256;
const WARM_UP_MS = 4_000;
const WINDOW_MS = 10_000;
const MS_PER_SECOND = 1_000;

interface Processes {
  readonly entry: number;
  readonly agents: readonly number[];
  readonly engines: readonly number[];
}

interface Reading {
  readonly atMs: number;
  readonly events: number;
  readonly entryCpu: number;
  readonly agentCpu: number;
  readonly engineCpu: number;
  readonly loadCpu: number;
}

export async function measureThroughput(
  site: Site,
  options: { readonly entry: string; readonly seed: number },
): Promise<readonly Figure[]> {
  const caller = CompletionCaller.create({
    url: site.urlOf(options.entry),
    key: site.callerKey,
    connections: STREAMS,
  });
  const processes = findProcesses(site, options.entry);
  let isOver = false;
  const streams = Array.from({ length: STREAMS }, async (_, stream) => {
    for (let call = 0; !isOver; call++) {
      const prompt = `Letter ${options.seed} ${stream} ${call}`;
      await caller.call(completionBody(prompt, TOKENS));
    }
  });
  const over = Promise.all(streams);
  await Promise.race([wait(WARM_UP_MS), over]);
  const before = read(processes, caller);
  await Promise.race([wait(WINDOW_MS), over]);
  const after = read(processes, caller);
  isOver = true;
  await over;
  caller.close();
  return describe(before, after);
}

function findProcesses(site: Site, entry: string): Processes {
  const agents = [...site.agents]
    .filter(([name]) => name.startsWith("chat-"))
    .map(([, { pid }]) => pid);
  const engines = [...site.standins.values()]
    .filter(({ name }) => name.startsWith("engine"))
    .map(({ pid }) => pid);
  return { entry: site.entries.get(entry)?.pid ?? 0, agents, engines };
}

function read(processes: Processes, caller: CompletionCaller): Reading {
  const cpuOf = (pid: number): number => readUsage(pid).cpuSeconds;
  return {
    atMs: performance.now(),
    events: caller.events,
    entryCpu: cpuOf(processes.entry),
    agentCpu: Math.max(...processes.agents.map(cpuOf)),
    engineCpu: Math.max(...processes.engines.map(cpuOf)),
    loadCpu: cpuOf(process.pid),
  };
}

function describe(before: Reading, after: Reading): readonly Figure[] {
  const seconds = (after.atMs - before.atMs) / MS_PER_SECOND;
  const chunks = after.events - before.events;
  const share = (name: string, used: number): Figure =>
    unbounded({ name, value: used / seconds, unit: "cores" });
  const entryCpu = after.entryCpu - before.entryCpu;
  return [
    atLeast(
      {
        name: "relayedChunksPerSecond",
        value: chunks / seconds,
        unit: "chunks/s",
      },
      BOUND_CHUNKS_PER_SECOND,
    ),
    unbounded({
      name: "entryCpuMicrosecondsPerChunk",
      value: entryCpu / chunks * 1e6,
      unit: "us",
    }),
    share("entryCpuCores", entryCpu),
    share("busiestAgentCpuCores", after.agentCpu - before.agentCpu),
    share("busiestEngineCpuCores", after.engineCpu - before.engineCpu),
    share("loadGeneratorCpuCores", after.loadCpu - before.loadCpu),
  ];
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
