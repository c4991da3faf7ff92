/** Measures the slopes from which `docs/CAPACITY.md` derives each role's cost. */

import { createTextHash } from "@dandelionbank/hash-text";
import type { Bench } from "../bench.ts";
import { measureControlTraffic } from "./control_traffic.ts";
import { measureEntryState } from "./entry_state.ts";
import { measureKeyState } from "./key_state.ts";
import { measurePathCost } from "./path_cost.ts";

export const CAPACITY_BENCH: Bench = {
  name: "capacity",
  async run({ seed }) {
    const figures = [
      ...await measureEntryState(),
      ...measureKeyState(),
      ...await measureControlTraffic(await createTextHash()),
      ...await measurePathCost(seed),
    ];
    return { figures, baselines: {} };
  },
};
