/** Benches that measure the product against its bounds. */

export { atLeast, atMost, unbounded } from "./bench.ts";
export type { Bench, BenchReport, Figure, Measured } from "./bench.ts";
export { BENCHES } from "./registry.ts";
