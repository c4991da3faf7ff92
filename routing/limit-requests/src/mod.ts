/** Enforcement of organisations' contracts at one entry. */

export { createLimitState, limitRequests } from "./limit_requests.ts";
export type { LimitState } from "./limit_requests.ts";
export type * from "./types.ts";
