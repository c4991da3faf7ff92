/** Watching of kinds of objects in the store. */

export { KindWatcher } from "./watch_kind.ts";
export type { KindEvent, KindWatcherOptions } from "./watch_kind.ts";
