/**
 * Assigns retry times to refused callers. The times are staggered, because
 * callers that all returned at the same time would be refused again.
 */

const MIN_RETRY_MS = 10;
const MAX_RETRY_MS = 60_000;
/** Time between two callers that return to targets whose rate is not known. */
const SPREAD_STEP_MS = 10;
/** Time over which such callers return; more of them return at shorter intervals. */
const SPREAD_MS = 1_000;
/** Retry time if the time of the next free capacity is unknown. */
const UNKNOWN_RETRY_MS = 1_000;

export interface CapacityForecast {
  /** Time until there is capacity for one request. */
  readonly waitMs: number;
  /** Further time until there is capacity for the next request. */
  readonly stepMs: number;
}

export class RetryTimes {
  #lastAssignedMs = -Infinity;

  static create(): RetryTimes {
    return new RetryTimes();
  }

  /**
   * Returns the retry time for the next refused caller if it is not known how many
   * requests there will be capacity for: the callers return one after another in
   * the second from `waitMs` on.
   */
  spread(waitMs: number, nowMs: number): number {
    const firstMs = nowMs + waitMs;
    const isSpreadUsed = this.#lastAssignedMs + SPREAD_STEP_MS >
      firstMs + SPREAD_MS;
    if (isSpreadUsed) this.#lastAssignedMs = -Infinity;
    return this.next({ waitMs, stepMs: SPREAD_STEP_MS }, nowMs);
  }

  /** Returns the retry time for the next refused caller. */
  next({ waitMs, stepMs }: CapacityForecast, nowMs: number): number {
    if (!Number.isFinite(waitMs)) return UNKNOWN_RETRY_MS;
    const assignedMs = Math.max(nowMs + waitMs, this.#lastAssignedMs + stepMs);
    this.#lastAssignedMs = Math.min(assignedMs, nowMs + MAX_RETRY_MS);
    return Math.max(MIN_RETRY_MS, Math.ceil(this.#lastAssignedMs - nowMs));
  }
}
