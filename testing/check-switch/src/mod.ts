/** Exhaustive model check of the protocol that switches a group's expert map. */

export type { Exploration, FoundViolation } from "./explore.ts";
export type { RankCore } from "./rank_node.ts";
export { checkSwitch, PRODUCT_CORE } from "./scenarios.ts";
export type { CheckOptions, ScenarioName } from "./scenarios.ts";
