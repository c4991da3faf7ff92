/** What the tests of whole sites share: sites, callers and what they check. */

export {
  assertCompletion,
  completionCall,
  countExecutions,
  readError,
  sendUntilSettled,
} from "./callers.ts";
export type { CompletionWish } from "./callers.ts";
export { readAgents, startSite, waitUntil } from "./fixtures.ts";
