/** Benches that measure the product against its bounds. */

export {
  atLeast,
  atMost,
  evaluateFigure as judgeFigure,
  unbounded,
} from "./bench.ts";
export type {
  Bench,
  BenchReport,
  BoundedFigure,
  Figure,
  Measurement as Measured,
} from "./bench.ts";
export { BENCHES } from "./registry.ts";
