/** Reads the clocks of this process. */

export { readInstant } from "./read_instant.ts";
