/**
 * Times at which refused callers find room. They are told times one after
 * another, since all of them coming back at one time would be refused again.
 */

const MIN_RETRY_MS = 10;
const MAX_RETRY_MS = 60_000;
/** Told when nothing says when there will be room. */
const UNKNOWN_RETRY_MS = 1_000;

export interface RoomExpected {
  /** Time until there is room for one. */
  readonly waitMs: number;
  /** Time from then until there is room for the next. */
  readonly stepMs: number;
}

export class RetryTimes {
  #toldUntilMs = -Infinity;

  static create(): RetryTimes {
    return new RetryTimes();
  }

  /** The time to tell one more refused caller. */
  next({ waitMs, stepMs }: RoomExpected, nowMs: number): number {
    if (!Number.isFinite(waitMs)) return UNKNOWN_RETRY_MS;
    const untilMs = Math.max(nowMs + waitMs, this.#toldUntilMs + stepMs);
    this.#toldUntilMs = Math.min(untilMs, nowMs + MAX_RETRY_MS);
    return Math.max(MIN_RETRY_MS, Math.ceil(this.#toldUntilMs - nowMs));
  }
}
