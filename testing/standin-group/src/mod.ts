/** Stand-in for a group of ranks in lockstep. */

export { StandinGroup, startGroup } from "./group.ts";
export type { GroupOptions, GroupReport, MapViolation } from "./group.ts";
export { Rank } from "./rank.ts";
export { GROUP_SETTINGS } from "./settings.ts";
export type { GroupSettings } from "./settings.ts";
