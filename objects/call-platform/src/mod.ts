/** Client of the platform's object API, its watch and its list of VMs. */

export type { CallCounts } from "./call_counter.ts";
export type { WatchEnd, WatchHandle, WatchOptions } from "./open_watch.ts";
export { PlatformClient } from "./platform_client.ts";
export type { PlatformClientOptions } from "./platform_client.ts";
export {
  RATE_LIMITED_CODE,
  REFUSED_CODE,
  UNREACHABLE_CODE,
  UNSETTLED_CODE,
} from "./platform_errors.ts";
