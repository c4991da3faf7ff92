/** Every bench, one line each. */

import type { Bench } from "./bench.ts";
import { LEDGER_BENCH } from "./ledger/ledger_bench.ts";
import { MAP_SWITCH_BENCH } from "./map/map_switch_bench.ts";

export const BENCHES: readonly Bench[] = [
  LEDGER_BENCH,
  MAP_SWITCH_BENCH,
];
