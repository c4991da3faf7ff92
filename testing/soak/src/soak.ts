/** What a soak is, and what its runs add up to. */

/** How often each thing of a name happened. */
export type Tally = Record<string, number>;

export interface RunReport {
  /** Faults injected, by kind. */
  readonly faults: Tally;
  /** How the work of the run ended, by kind. */
  readonly outcomes: Tally;
  /** How often each invariant was checked. */
  readonly invariants: Tally;
  /** One line each. */
  readonly violations: readonly string[];
}

export interface Soak {
  readonly name: string;
  /** One run; the same seed gives the same report. */
  run(seed: number): RunReport;
}

export interface SoakOptions {
  readonly seed: number;
  readonly runs: number;
  /** Runs only this one. */
  readonly onlyRun?: number | undefined;
}

export interface SoakViolation {
  readonly run: number;
  readonly violation: string;
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

/** Distance between the seeds of two runs. */
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

export function addTally(total: Tally, added: Readonly<Tally>): void {
  for (const [name, count] of Object.entries(added)) {
    total[name] = (total[name] ?? 0) + count;
  }
}
