/** Cost of the path from caller to engine, with each part in its own process. */

import { Site } from "@dandelionbank/run-site";
import type { Bench, BenchReport } from "../bench.ts";
import { measureLatency } from "./measure_latency.ts";
import { measureMemory } from "./measure_memory.ts";
import { measureThroughput } from "./measure_throughput.ts";

const ENGINES = 3;
const ENTRY = "entry-1";

export const RELAY_BENCH: Bench = { name: "relay", run };

async function run(
  { seed }: { readonly seed: number },
): Promise<BenchReport> {
  const memory = await measureMemory();
  const site = await Site.start({
    entries: 1,
    ranks: 1,
    engines: ENGINES,
    engineArgs: ["--token-interval-ms=0", "--first-token-ms=0"],
  });
  try {
    const { figures, baselines } = await measureLatency({
      directUrl: site.engineUrls[0] ?? "",
      entryUrl: site.getEntryUrl(ENTRY),
      key: site.callerKey,
      seed,
    });
    // Tokens generated in one turn of the event loop would share a chunk.
    for (const url of site.engineUrls) {
      await site.setFaults(url, { tokenIntervalMs: 1 });
    }
    const throughput = await measureThroughput(site, { entry: ENTRY, seed });
    return { figures: [...figures, ...throughput, ...memory], baselines };
  } finally {
    await site.stop();
  }
}
