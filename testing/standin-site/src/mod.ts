/**
 * Stand-ins for the users' platform: object store, engines and groups of ranks.
 * The platform of `dandelionbankd` is simulated by `standin-platform`.
 */

export { CrashingEngines } from "./crashing_engines.ts";
export type { Arrival, CrashingEnginesOptions } from "./crashing_engines.ts";
export { ENDLESS_FORMS } from "./endless_forms.ts";
export type { EndlessForm, EndlessFormName } from "./endless_forms.ts";
export { HeldLink } from "./held_link.ts";
export {
  RawEngine,
  renderRawAnswer,
  renderRawBody,
  sendRawAnswer,
} from "./raw_engine.ts";
export type { RawCall, RawScript } from "./raw_engine.ts";
export {
  refuseAsNotRun,
  refuseFor,
  renderAnswerHead,
  resetConnection,
  sendCompleteAnswer,
  sendWithoutEnd,
  SiteEngine,
  streamEvents,
} from "./site_engine.ts";
export type { EngineCall, EngineScript } from "./site_engine.ts";
export { SiteGroup } from "./site_group.ts";
export type { SiteGroupOptions } from "./site_group.ts";
export { SiteStore } from "./site_store.ts";
export type { StoreAvailability, StoreSnapshot } from "./site_store.ts";
