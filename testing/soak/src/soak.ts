/** Defines soaks and runs them with consecutive seeds. */

/** Numbers of occurrences by name. */
export type Tally = Record<string, number>;

export interface RunReport {
  /** Numbers of injected faults, by kind. */
  readonly faults: Tally;
  /** Numbers of outcomes of the simulated work, by kind. */
  readonly outcomes: Tally;
  /** Numbers of checks of each invariant. */
  readonly invariants: Tally;
  /** One line for each violation. */
  readonly violations: readonly string[];
}

export interface Soak {
  readonly name: string;
  /** Executes one run. The same seed gives the same report. */
  run(seed: number): RunReport;
}

export interface SoakOptions {
  readonly seed: number;
  readonly runs: number;
  /** Number of the only run to execute; all runs if absent. */
  readonly onlyRun?: number | undefined;
}

export interface SoakViolation {
  readonly run: number;
  readonly violation: string;
  /** The command that executes the run again. */
  readonly replay: string;
}

export interface SoakSummary {
  readonly soak: string;
  readonly seed: number;
  readonly runs: number;
  readonly faults: Tally;
  readonly outcomes: Tally;
  readonly invariants: Tally;
  readonly violations: number;
}

/**
 * Distance between the first runs of two consecutive soak seeds. Up to this
 * number of runs, soaks with different seeds have no run in common.
 */
const SEED_STEP = 7_919;

export function runSoak(
  soak: Soak,
  options: SoakOptions & {
    readonly onViolation: (violation: SoakViolation) => void;
  },
): SoakSummary {
  const { seed, onlyRun } = options;
  const first = onlyRun ?? 0;
  const runs = onlyRun === undefined ? options.runs : 1;
  const total = { faults: {}, outcomes: {}, invariants: {} };
  let violations = 0;
  for (let run = first; run < first + runs; run++) {
    const report = soak.run(seed * SEED_STEP + run);
    addTally(total.faults, report.faults);
    addTally(total.outcomes, report.outcomes);
    addTally(total.invariants, report.invariants);
    violations += report.violations.length;
    const replay = `npm run soak -- ${soak.name} --seed ${seed} --run ${run}`;
    for (const violation of report.violations) {
      options.onViolation({ run, violation, replay });
    }
  }
  return { soak: soak.name, seed, runs, ...total, violations };
}

/** Adds the counts of one tally to another. */
export function addTally(total: Tally, added: Readonly<Tally>): void {
  for (const [name, count] of Object.entries(added)) {
    total[name] = (total[name] ?? 0) + count;
  }
}
