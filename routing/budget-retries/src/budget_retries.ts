/**
 * Bounds, for each service, the attempts beyond the first of each request. The
 * limit holds over any window and over all entries together, so each entry has
 * a fixed share of the slack that cannot add up to more, whoever joins: with
 * `n` entries known, a share of one in twice as many. The part in proportion to
 * requests needs no sharing, since each entry counts only its own.
 */

export interface RetryBudgetOptions {
  /** Attempts allowed for each request of the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Attempts allowed besides, over all entries together. */
  readonly slack: number;
}

interface ServiceWindow {
  readonly requestsAtMs: number[];
  readonly retriesAtMs: number[];
}

/** Opaque; changed in place. */
export interface RetryBudget {
  readonly options: RetryBudgetOptions;
  readonly services: Map<string, ServiceWindow>;
}

/** Entries that may join before this one hears of them. */
const JOIN_FACTOR = 2;
/** Part of the ratio that is used, since windows of others slide elsewhere. */
const RATIO_USED = 0.6;

export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  return { options, services: new Map() };
}

export function recordRequest(
  budget: RetryBudget,
  { service, nowMs }: { readonly service: string; readonly nowMs: number },
): void {
  windowOf(budget, { service, nowMs }).requestsAtMs.push(nowMs);
}

/** Takes one retry out of the budget; false if there is none. */
export function tryConsumeRetry(
  budget: RetryBudget,
  { service, nowMs, entryCount }: {
    readonly service: string;
    readonly nowMs: number;
    /** Entries that are known, this one included. */
    readonly entryCount: number;
  },
): boolean {
  const window = windowOf(budget, { service, nowMs });
  const { ratio, slack } = budget.options;
  const share = slack / (JOIN_FACTOR * Math.max(1, entryCount));
  const allowed = share + RATIO_USED * ratio * window.requestsAtMs.length;
  if (window.retriesAtMs.length + 1 > allowed) return false;
  window.retriesAtMs.push(nowMs);
  return true;
}

function windowOf(
  { services, options }: RetryBudget,
  { service, nowMs }: { readonly service: string; readonly nowMs: number },
): ServiceWindow {
  const known = services.get(service);
  const window = known ?? { requestsAtMs: [], retriesAtMs: [] };
  if (known === undefined) services.set(service, window);
  const sinceMs = nowMs - options.windowMs;
  dropBefore(window.requestsAtMs, sinceMs);
  dropBefore(window.retriesAtMs, sinceMs);
  return window;
}

function dropBefore(timesMs: number[], sinceMs: number): void {
  let count = 0;
  while (count < timesMs.length && (timesMs[count] as number) < sinceMs) {
    count += 1;
  }
  if (count > 0) timesMs.splice(0, count);
}
