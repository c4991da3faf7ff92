/** Retry budgets of services. */

export {
  createRetryBudget,
  recordRequest,
  tryConsumeRetry,
} from "./budget_retries.ts";
export type { RetryBudget, RetryBudgetOptions } from "./budget_retries.ts";
