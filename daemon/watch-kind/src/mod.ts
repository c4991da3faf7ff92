/** Watching of kinds of objects in the store. */

export { RegistrationReader } from "./registration_reader.ts";
export { KindWatcher } from "./kind_watcher.ts";
export type { KindEvent, KindWatcherOptions } from "./kind_watcher.ts";
