/** Resident memory of idle entries and agents. */

import { Site } from "@dandelionbank/run-site";
import { atMost, type Figure, unbounded } from "../bench.ts";
import { readProcessUsage } from "../process_usage.ts";

/** Memory limit for one control process on a node. */
const MAX_RESIDENT_MB = 64;
const SETTLE_MS = 8_000;
const BYTES_PER_MB = 1_000_000;

export async function measureMemory(): Promise<readonly Figure[]> {
  const site = await Site.start({ entries: 2, ranks: 3, engines: 1 });
  try {
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    return [
      ...createFigures("idleEntryResidentMb", [...site.entries.values()]),
      ...createFigures("idleAgentResidentMb", [...site.agents.values()]),
    ];
  } finally {
    await site.stop();
  }
}

/** Creates figures of the largest process, which has the bound, and the smallest. */
function createFigures(
  name: string,
  programs: readonly { readonly pid: number }[],
): readonly Figure[] {
  const sizes = programs
    .map(({ pid }) => readProcessUsage(pid).residentBytes / BYTES_PER_MB)
    .sort((left, right) => left - right);
  const unit = "MB";
  return [
    atMost({ name, value: sizes.at(-1) ?? NaN, unit }, MAX_RESIDENT_MB),
    unbounded({ name: `${name}Smallest`, value: sizes[0] ?? NaN, unit }),
  ];
}
