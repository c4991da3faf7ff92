/**
 * Stand-in for the platform whose object API `dandelionbankd` uses: objects,
 * watches and the list of VMs. The users' platform is simulated by `standin-site`.
 */

export { StandinPlatform, startPlatform } from "./platform.ts";
export type { CallCounts, PlatformOptions } from "./platform.ts";
export { PLATFORM_SETTINGS } from "./settings.ts";
export type { PlatformSettings } from "./settings.ts";
