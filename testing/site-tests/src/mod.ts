/** What the tests of whole sites share: sites, callers and what they check. */

export {
  assertCompletion,
  completionCall,
  countAllExecutions,
  countExecutions,
  readError,
  sendUntilSettled,
} from "./callers.ts";
export type { CompletionWish } from "./callers.ts";
export { readAgents, sleep, startSite, waitUntil } from "./fixtures.ts";
export { SteadyLoad } from "./steady_load.ts";
export type { LoadOptions, LoadRecord } from "./steady_load.ts";
export { Relay } from "./relay.ts";
export type { Silence } from "./relay.ts";
