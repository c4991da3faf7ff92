/** Errors that say where they arose, what they are and what to do. */

export { createError, DandelionError } from "./dandelion_error.ts";
export type { ErrorOptions } from "./dandelion_error.ts";
