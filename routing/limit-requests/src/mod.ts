/** Enforcement of organisations' contracts at one entry. */

export { createLimitState, limitRequests } from "./limit_requests.ts";
export type { LimitState } from "./limit_requests.ts";
export { RetryTimes } from "./retry_times.ts";
export type { CapacityForecast } from "./retry_times.ts";
export { TokenBucket } from "./token_bucket.ts";
export type { TokenBucketOptions } from "./token_bucket.ts";
export type * from "./types.ts";
