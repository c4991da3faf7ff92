/**
 * Processor time of an entry and an agent per request and per token, from
 * streams of different lengths. Entry and agent run as separate processes.
 */

import { Site } from "@dandelionbank/run-site";
import { type Figure, unbounded } from "../bench.ts";
import {
  CompletionCaller,
  createCompletionBody,
} from "../relay/completion_caller.ts";
import { readProcessUsage } from "../process_usage.ts";
import { fitLine, type Point } from "./slope.ts";

const ANSWER_LENGTHS_TOKENS = [8, 64, 256] as const;
/** Number of concurrent streams. */
const STREAMS = 16;
const WARM_UP_MS = 1_500;
const WINDOW_MS = 5_000;

/** Processor times since the start of each process, or per request. */
interface CpuTimes {
  readonly entryUs: number;
  readonly agentUs: number;
}

export async function measurePathCost(
  seed: number,
): Promise<readonly Figure[]> {
  const site = await Site.start({
    entries: 1,
    ranks: 1,
    engines: 1,
    engineArgs: ["--token-interval-ms=1", "--first-token-ms=0"],
  });
  try {
    const entry: Point[] = [];
    const agent: Point[] = [];
    for (const tokens of ANSWER_LENGTHS_TOKENS) {
      const { entryUs, agentUs } = await measure(site, { tokens, seed });
      entry.push({ size: tokens, value: entryUs });
      agent.push({ size: tokens, value: agentUs });
    }
    return [...createFigures("entry", entry), ...createFigures("agent", agent)];
  } finally {
    await site.stop();
  }
}

function createFigures(
  role: string,
  points: readonly Point[],
): readonly Figure[] {
  const { slope, base, fit } = fitLine(points);
  return [
    unbounded({ name: `${role}CpuPerToken`, value: slope, unit: "us" }),
    unbounded({ name: `${role}CpuPerRequest`, value: base, unit: "us" }),
    unbounded({ name: `${role}CpuFit`, value: fit, unit: "" }),
  ];
}

/** Measures the processor time per request for answers of one length. */
async function measure(
  site: Site,
  options: { readonly tokens: number; readonly seed: number },
): Promise<CpuTimes> {
  const { tokens, seed } = options;
  const caller = CompletionCaller.create({
    url: site.getEntryUrl("entry-1"),
    key: site.callerKey,
    connections: STREAMS,
  });
  let answered = 0;
  let isStopped = false;
  const allStreams = Promise.all(
    Array.from({ length: STREAMS }, async (_, stream) => {
      for (let call = 0; !isStopped; call++) {
        await caller.call(
          createCompletionBody(`${seed} ${stream} ${call}`, tokens),
        );
        answered += 1;
      }
    }),
  );
  await Promise.race([wait(WARM_UP_MS), allStreams]);
  const before = { answered, ...readCpuTimes(site) };
  await Promise.race([wait(WINDOW_MS), allStreams]);
  const after = { answered, ...readCpuTimes(site) };
  isStopped = true;
  await allStreams;
  caller.close();
  const requests = after.answered - before.answered;
  return {
    entryUs: (after.entryUs - before.entryUs) / requests,
    agentUs: (after.agentUs - before.agentUs) / requests,
  };
}

function readCpuTimes(site: Site): CpuTimes {
  return {
    entryUs: readProcessCpuUs(site.entries.get("entry-1")?.pid),
    agentUs: readProcessCpuUs(site.agents.get("chat-0")?.pid),
  };
}

function readProcessCpuUs(pid = 0): number {
  return readProcessUsage(pid).cpuSeconds * 1e6;
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
