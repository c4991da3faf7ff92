/** What a bench is and what it reports. */

export interface Figure {
  /** Says its unit in its last word. */
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  /** From the users' needs, never from a measured value. */
  readonly bound?: number;
  /** Whether the bound is the least or the most that will do. */
  readonly boundKind?: "most" | "least";
}

export interface BenchReport {
  readonly figures: readonly Figure[];
  readonly baselines: Readonly<Record<string, number>>;
}

export interface Bench {
  readonly name: string;
  run(seed: number): BenchReport;
}

export interface JudgedFigure extends Figure {
  readonly holds: boolean | undefined;
}

export function judgeFigure(figure: Figure): JudgedFigure {
  const { value, bound, boundKind } = figure;
  if (bound === undefined) return { ...figure, holds: undefined };
  return {
    ...figure,
    holds: boundKind === "least" ? value >= bound : value <= bound,
  };
}
