/** Exponential backoff with jitter. */

export { computeBackoffMs } from "./back_off.ts";
export type { BackoffOptions } from "./back_off.ts";
