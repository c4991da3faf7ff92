/**
 * Retry budget: limits, per service, the attempts beyond the first attempt of
 * each request. The limit is a ratio of the requests plus a fixed slack, and
 * holds in any window for all entries together.
 *
 * With `n` known entries, each entry uses `1 / (2 n)` of the slack, so that the
 * shares don't exceed the slack in total while new entries are still unknown to
 * others. The ratio needs no division, since each entry counts only its own
 * requests.
 */

export interface RetryBudgetOptions {
  /** Retries allowed per request in the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Additional retries allowed in the window, for all entries together. */
  readonly slack: number;
}

interface ServiceWindow {
  readonly requestsAtMs: number[];
  readonly retriesAtMs: number[];
}

/** Opaque; mutated in place. */
export interface RetryBudget {
  readonly options: RetryBudgetOptions;
  readonly services: Map<string, ServiceWindow>;
}

/** Allows for the number of entries to double before this entry learns of it. */
const ENTRY_GROWTH_FACTOR = 2;
/** Share of the ratio in use, since the entries' windows don't coincide. */
const RATIO_SHARE = 0.6;

export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  return { options, services: new Map() };
}

export function recordRequest(
  budget: RetryBudget,
  { service, nowMs }: { readonly service: string; readonly nowMs: number },
): void {
  updateWindow(budget, { service, nowMs }).requestsAtMs.push(nowMs);
}

/** Consumes one retry of the budget; returns false if the budget is exhausted. */
export function tryConsumeRetry(
  budget: RetryBudget,
  { service, nowMs, entryCount }: {
    readonly service: string;
    readonly nowMs: number;
    /** Number of known entries, including this one. */
    readonly entryCount: number;
  },
): boolean {
  const window = updateWindow(budget, { service, nowMs });
  const { ratio, slack } = budget.options;
  const slackShare = slack / (ENTRY_GROWTH_FACTOR * Math.max(1, entryCount));
  const allowed = slackShare + RATIO_SHARE * ratio * window.requestsAtMs.length;
  if (window.retriesAtMs.length + 1 > allowed) return false;
  window.retriesAtMs.push(nowMs);
  return true;
}

function updateWindow(
  { services, options }: RetryBudget,
  { service, nowMs }: { readonly service: string; readonly nowMs: number },
): ServiceWindow {
  const existing = services.get(service);
  const window = existing ?? { requestsAtMs: [], retriesAtMs: [] };
  if (existing === undefined) services.set(service, window);
  const sinceMs = nowMs - options.windowMs;
  removeBefore(window.requestsAtMs, sinceMs);
  removeBefore(window.retriesAtMs, sinceMs);
  return window;
}

function removeBefore(timesMs: number[], sinceMs: number): void {
  let count = 0;
  while (count < timesMs.length && (timesMs[count] as number) < sinceMs) {
    count += 1;
  }
  if (count > 0) timesMs.splice(0, count);
}
