/** Maintains an entry's view of the platform's objects. */

export { ViewKeeper } from "./view_keeper.ts";
export type { ViewKeeperOptions } from "./view_keeper.ts";
