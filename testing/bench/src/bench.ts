/** What a bench is, and what it prints. */

export interface Figure {
  /** With its unit as a suffix. */
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  /** Such as `>= 50000`, or empty if there is none. */
  readonly bound: string;
  /** Absent if there is no bound. */
  readonly holds?: boolean;
}

export interface BenchReport {
  readonly figures: readonly Figure[];
  /** Other ways, measured in the same run. */
  readonly baselines: Readonly<Record<string, number>>;
}

export interface Bench {
  readonly name: string;
  run(options: { readonly seed: number }): Promise<BenchReport>;
}

export interface Measured {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}

export function atLeast(measured: Measured, bound: number): Figure {
  const holds = measured.value >= bound;
  return { ...round(measured), bound: `>= ${bound}`, holds };
}

export function atMost(measured: Measured, bound: number): Figure {
  const holds = measured.value <= bound;
  return { ...round(measured), bound: `<= ${bound}`, holds };
}

export function unbounded(measured: Measured): Figure {
  return { ...round(measured), bound: "" };
}

function round(measured: Measured): Measured {
  return { ...measured, value: Number(measured.value.toPrecision(4)) };
}
