/** Token buckets, and retry times for those who are refused. */

export { RetryTimes } from "./retry_times.ts";
export type { CapacityForecast } from "./retry_times.ts";
export { TokenBucket } from "./token_bucket.ts";
export type { TokenBucketOptions } from "./token_bucket.ts";
