/** Stand-in of the platform: object API, watch and list of VMs. */

export { StandinPlatform, startPlatform } from "./platform.ts";
export type { CallCounts, PlatformOptions } from "./platform.ts";
export { PLATFORM_SETTINGS } from "./settings.ts";
export type { PlatformSettings } from "./settings.ts";
