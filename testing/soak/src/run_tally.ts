/** Counters of a run. */

import type { Tally } from "./soak.ts";

export interface RunTally {
  readonly faults: Tally;
  readonly outcomes: Tally;
  readonly invariants: Tally;
  readonly violations: string[];
}

export function createRunTally(): RunTally {
  return { faults: {}, outcomes: {}, invariants: {}, violations: [] };
}

export function count(tally: Tally, name: string, amount = 1): void {
  tally[name] = (tally[name] ?? 0) + amount;
}
