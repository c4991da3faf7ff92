/**
 * Assigns retry times to refused callers. The times are staggered, because
 * callers that all returned at the same time would be refused again.
 */

const MIN_RETRY_MS = 10;
const MAX_RETRY_MS = 60_000;
/** Time between two callers that return to targets whose rate is not known. */
export const RETURN_STEP_MS = 10;
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

  /** Returns the retry time for the next refused caller. */
  next({ waitMs, stepMs }: CapacityForecast, nowMs: number): number {
    if (!Number.isFinite(waitMs)) return UNKNOWN_RETRY_MS;
    const assignedMs = Math.max(nowMs + waitMs, this.#lastAssignedMs + stepMs);
    this.#lastAssignedMs = Math.min(assignedMs, nowMs + MAX_RETRY_MS);
    return Math.max(MIN_RETRY_MS, Math.ceil(this.#lastAssignedMs - nowMs));
  }
}
