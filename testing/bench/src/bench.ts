/** Types of a bench and its report, and figures with their bounds. */

export interface Figure {
  /** Ends in the unit, such as `takeoverVirtualMs`. */
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  /** Such as `>= 50000`; empty if the figure has no bound. */
  readonly bound: string;
  /** Whether the value is within the bound; absent if there is no bound. */
  readonly holds?: boolean;
}

export interface BenchReport {
  readonly figures: readonly Figure[];
  /** Values of alternatives to the product, measured in the same run. */
  readonly baselines: Readonly<Record<string, number>>;
}

export interface Bench {
  readonly name: string;
  run(options: { readonly seed: number }): Promise<BenchReport>;
}

export interface Measurement {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}

export function atLeast(measurement: Measurement, bound: number): Figure {
  const holds = measurement.value >= bound;
  return { ...roundMeasurement(measurement), bound: `>= ${bound}`, holds };
}

export function atMost(measurement: Measurement, bound: number): Figure {
  const holds = measurement.value <= bound;
  return { ...roundMeasurement(measurement), bound: `<= ${bound}`, holds };
}

export function unbounded(measurement: Measurement): Figure {
  return { ...roundMeasurement(measurement), bound: "" };
}

/** A measurement with its bound as a number. */
export interface BoundedFigure extends Measurement {
  /** Derived from the users' requirements, never from a measured value. */
  readonly bound?: number;
  /** Whether the bound is a maximum or a minimum; a maximum if absent. */
  readonly boundKind?: "most" | "least";
}

export function evaluateFigure(figure: BoundedFigure): Figure {
  const { bound, boundKind, ...measurement } = figure;
  if (bound === undefined) return unbounded(measurement);
  return boundKind === "least"
    ? atLeast(measurement, bound)
    : atMost(measurement, bound);
}

function roundMeasurement(measurement: Measurement): Measurement {
  return { ...measurement, value: Number(measurement.value.toPrecision(4)) };
}
