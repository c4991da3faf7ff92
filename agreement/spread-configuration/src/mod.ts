/** Distribution of the platform's objects, and the freshness of a view. */

export { ObjectTable } from "./object_table.ts";
export type { SpreadEffect, SpreadEvent } from "./events.ts";
export { createSpreadState } from "./spread_state.ts";
export type { SpreadOptions, SpreadState } from "./spread_state.ts";
export { freshUntilMs, mayAcceptWork, stepSpread } from "./step_spread.ts";
export {
  FRESHNESS_MS,
  UNSEEN_CHANGE_WINDOW_MS,
  WATCHER_COUNT,
} from "./timing.ts";
