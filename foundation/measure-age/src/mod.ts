/** Computes the age of an instant from the monotonic and the wall clock. */

export { measureAgeMs } from "./measure_age.ts";
