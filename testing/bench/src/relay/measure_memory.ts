/** Resident memory of entries and agents that have nothing to do. */

import { Site } from "@dandelionbank/run-site";
import { atMost, type Figure, unbounded } from "../bench.ts";
import { readUsage } from "./process_usage.ts";

/** The letter's bound for control on a node. */
const BOUND_MB = 64;
const SETTLE_MS = 8_000;
const BYTES_PER_MB = 1_000_000;

export async function measureMemory(): Promise<readonly Figure[]> {
  const site = await Site.start({ entries: 2, ranks: 3, engines: 1 });
  try {
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    return [
      ...describe("idleEntryResidentMb", [...site.entries.values()]),
      ...describe("idleAgentResidentMb", [...site.agents.values()]),
    ];
  } finally {
    await site.stop();
  }
}

/** The largest counts against the bound. */
function describe(
  name: string,
  programs: readonly { readonly pid: number }[],
): readonly Figure[] {
  const sizes = programs
    .map(({ pid }) => readUsage(pid).residentBytes / BYTES_PER_MB)
    .sort((left, right) => left - right);
  const unit = "MB";
  return [
    atMost({ name, value: sizes.at(-1) ?? NaN, unit }, BOUND_MB),
    unbounded({ name: `${name}Smallest`, value: sizes[0] ?? NaN, unit }),
  ];
}
