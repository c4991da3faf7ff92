/** Stand-ins of the users' platform. */

export {
  refuseAsNotRun,
  resetConnection,
  sendCompleteAnswer,
  SiteEngine,
  streamEvents,
} from "./site_engine.ts";
export type { EngineCall, EngineScript } from "./site_engine.ts";
export { SiteGroup } from "./site_group.ts";
export type { SiteGroupOptions } from "./site_group.ts";
export { SiteStore } from "./site_store.ts";
export type { StoreAvailability } from "./site_store.ts";
