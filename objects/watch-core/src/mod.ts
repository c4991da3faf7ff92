/** Decides when a watch of the platform's objects lists, watches and waits. */

export { stepWatch } from "./step_watch.ts";
export type { WatchEvent } from "./watch_event.ts";
export { createWatchState } from "./watch_state.ts";
export type { WatchEffect, WatchInput, WatchState } from "./watch_state.ts";
