/** Helpers that the tests of whole sites share: sites, callers and checks. */

export {
  assertCompletion,
  countAllExecutions,
  countExecutions,
  createCompletionCall,
  readError,
  retryWhileNotRun,
} from "./callers.ts";
export type { CompletionRequest } from "./callers.ts";
export { readAgents, sleep, startSite, waitUntil } from "./fixtures.ts";
export { SteadyLoad } from "./steady_load.ts";
export type { LoadOptions, LoadRecord } from "./steady_load.ts";
export { Relay } from "./relay.ts";
export type { BlockedDirection } from "./relay.ts";
