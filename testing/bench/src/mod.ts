/** Benches that measure the product against its bounds. */

export { atLeast, atMost, evaluateFigure, unbounded } from "./bench.ts";
export type {
  Bench,
  BenchReport,
  BoundedFigure,
  Figure,
  Measurement,
} from "./bench.ts";
export { BENCHES } from "./registry.ts";
