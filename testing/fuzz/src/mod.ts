/** Fuzzing of the decoders of input from outside. */

export { FUZZ_TARGETS } from "./registry.ts";
export type { FuzzOptions, FuzzTarget } from "./fuzz_target.ts";
