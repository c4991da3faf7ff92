/** Planning of expert maps. */

export {
  computeMaxCopiesPerRank,
  estimateCopyMs,
  isChangeWorthwhile,
} from "./decide_change.ts";
export {
  createDemandEstimate,
  estimateDemandBySet,
  recordChoices,
} from "./demand_estimate.ts";
export type { DemandEstimate } from "./demand_estimate.ts";
export { createInitialMap, planExperts } from "./plan_experts.ts";
export type { ExpertPlan, PlanOptions } from "./plan_experts.ts";
