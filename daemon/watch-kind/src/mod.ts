/** Follows kinds of objects. */

export { KindWatcher } from "./watch_kind.ts";
export type { KindEvent, KindWatcherOptions } from "./watch_kind.ts";
