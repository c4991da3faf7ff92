/** Plans of expert maps. */

export {
  estimateCopyMs,
  isChangeWorthwhile,
  limitCopies,
} from "./decide_change.ts";
export {
  createFollowedDemand,
  noteChoices,
  readDemand,
} from "./follow_demand.ts";
export type { FollowedDemand } from "./follow_demand.ts";
export { createFirstMap, planExperts } from "./plan_experts.ts";
export type { ExpertPlan, PlanOptions } from "./plan_experts.ts";
