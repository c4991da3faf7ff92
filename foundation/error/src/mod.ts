/** Errors with a stable code, the step and the peer concerned, and a hint. */

export { createError, DandelionError } from "./dandelion_error.ts";
export type { ErrorOptions } from "./dandelion_error.ts";
