/** Every bench, one line each. */

import type { Bench } from "./bench.ts";
import { CAPACITY_BENCH } from "./capacity/capacity_bench.ts";
import { LEDGER_BENCH } from "./ledger/ledger_bench.ts";
import { RELAY_BENCH } from "./relay/relay_bench.ts";

export const BENCHES: readonly Bench[] = [
  CAPACITY_BENCH,
  LEDGER_BENCH,
  RELAY_BENCH,
];
