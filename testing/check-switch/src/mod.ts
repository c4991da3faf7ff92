/**
 * Exhaustive model check of the protocol that switches a group's expert map.
 *
 * A coordinator proposes a map and the step from which the group uses it. The
 * agent of each rank puts that step on hold, then promises the proposal. Once
 * every rank has promised, which a certificate proves, the proposal is committed;
 * until then a rank that has not promised may abort it. An agent that replaces
 * another one joins the group: before it votes, it asks its peers about proposals
 * that its predecessor may have promised.
 */

export type { Exploration, ViolationTrace } from "./explore.ts";
export type { RankCore } from "./rank_node.ts";
export { checkGroupSwitch } from "./explore_group.ts";
export { checkSwitch, PRODUCT_CORE } from "./scenarios.ts";
export type { CheckOptions, ScenarioName } from "./scenarios.ts";
