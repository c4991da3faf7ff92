/** State machine that decides when to list, watch and wait. */

export { stepWatch } from "./step_watch.ts";
export type { WatchEvent } from "./watch_event.ts";
export { createWatchState } from "./watch_state.ts";
export type { WatchEffect, WatchInput, WatchState } from "./watch_state.ts";
