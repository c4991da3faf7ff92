/**
 * Switch of a group's expert map at a step, decided by unanimous promises. The
 * agents determine the outcome among themselves; in `switch-group` it is the
 * coordinator that leads the switch.
 */

export { startCoordinator, stepCoordinator } from "./coordinator_core.ts";
export type * from "./coordinator_state.ts";
export { VERSIONS_PER_HOLDER } from "./messages.ts";
export type * from "./messages.ts";
export { startRank, stepRank } from "./rank_core.ts";
export type * from "./rank_state.ts";
