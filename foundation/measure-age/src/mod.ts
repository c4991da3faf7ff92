/** Computes ages by several clocks. */

export { measureAgeMs } from "./measure_age.ts";
