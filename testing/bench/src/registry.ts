/** All benches that `npm run bench` can run. */

import type { Bench } from "./bench.ts";
import { CONFIG_SPREAD_BENCH } from "./config/config_spread_bench.ts";
import { CAPACITY_BENCH } from "./capacity/capacity_bench.ts";
import { ENDLESS_BENCH } from "./endless/endless_bench.ts";
import { LEDGER_BENCH } from "./ledger/ledger_bench.ts";
import { LIMITS_BENCH } from "./limits/limits_bench.ts";
import { PLACEMENT_BENCH } from "./placement/placement_bench.ts";
import { MAP_SWITCH_BENCH } from "./map/map_switch_bench.ts";
import { RELAY_BENCH } from "./relay/relay_bench.ts";

export const BENCHES: readonly Bench[] = [
  CONFIG_SPREAD_BENCH,
  CAPACITY_BENCH,
  ENDLESS_BENCH,
  LEDGER_BENCH,
  LIMITS_BENCH,
  PLACEMENT_BENCH,
  MAP_SWITCH_BENCH,
  RELAY_BENCH,
];
