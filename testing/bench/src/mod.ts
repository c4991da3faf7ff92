/** Measurements of the real cores against baselines. */

export { judgeFigure } from "./bench.ts";
export type { Bench, BenchReport, Figure, JudgedFigure } from "./bench.ts";
export { BENCHES } from "./registry.ts";
