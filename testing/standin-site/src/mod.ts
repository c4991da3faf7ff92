/** Stand-ins of the users' platform. */

export {
  answerWhole,
  refuseRun,
  resetConnection,
  SiteEngine,
  streamEvents,
} from "./site_engine.ts";
export type { EngineCall, EngineScript } from "./site_engine.ts";
export { SiteGroup } from "./site_group.ts";
export type { SiteGroupOptions } from "./site_group.ts";
export { SiteStore } from "./site_store.ts";
export type { StoreMood } from "./site_store.ts";
