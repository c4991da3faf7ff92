/** Watches the platform's objects as a `most` stream. */

export type { WatchEvent } from "@dandelionbank/watch-core";
export { watchObjects } from "./watch_objects.ts";
export type { WatchObjectsOptions } from "./watch_objects.ts";
