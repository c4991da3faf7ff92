/** Placement of attempts on targets. */

export {
  assignRetryMs,
  createPlacementState,
  hasAvailableTarget,
  stepPlacement,
} from "./pick_target.ts";
export type { PlacementOptions, PlacementState } from "./pick_target.ts";
export { createPolicy, DEFAULT_POLICY } from "./policies.ts";
export type { PlacementPolicy, RandomSource } from "./policies.ts";
export { mixHashes } from "./target_pool.ts";
export type * from "./types.ts";
