/** Stand-in for the platform: object API, watches and list of VMs. */

export { StandinPlatform, startPlatform } from "./platform.ts";
export type { CallCounts, PlatformOptions } from "./platform.ts";
export { PLATFORM_SETTINGS } from "./settings.ts";
export type { PlatformSettings } from "./settings.ts";
