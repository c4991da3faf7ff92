/** Budget of retries. */

export { createRetryBudget, noteRequest, takeRetry } from "./budget_retries.ts";
export type { RetryBudget, RetryBudgetOptions } from "./budget_retries.ts";
