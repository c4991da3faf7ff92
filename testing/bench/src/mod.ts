/** Benches that measure the product against its bounds. */

export { atLeast, atMost, judgeFigure, unbounded } from "./bench.ts";
export type {
  Bench,
  BenchReport,
  BoundedFigure,
  Figure,
  Measured,
} from "./bench.ts";
export { BENCHES } from "./registry.ts";
