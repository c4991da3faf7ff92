/** Ages. */

export { measureAgeMs } from "./measure_age.ts";
