/** Clocks. */

export { readInstant } from "./read_instant.ts";
