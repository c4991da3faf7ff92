/**
 * How much slower than expected the requests of each service ran lately. A group
 * whose work is spread unevenly takes several times the time of a balanced one.
 */

/** A slowdown is remembered for this time at least, and for twice at most. */
const PERIOD_MS = 5_000;

interface Periods {
  startedMs: number;
  /** Largest slowdown of the current and of the preceding period. */
  current: number;
  preceding: number;
}

export class SlowdownTracker {
  readonly #services = new Map<string, Periods>();

  private constructor() {}

  static create(): SlowdownTracker {
    return new SlowdownTracker();
  }

  /** Records a run that took `slowdown` times as long as expected. */
  record(service: string, slowdown: number, nowMs: number): void {
    const periods = this.#readPeriods(service, nowMs);
    periods.current = Math.max(periods.current, slowdown);
    this.#services.set(service, periods);
  }

  /** Returns the largest recent slowdown; 0 if there was no run. */
  readLargest(service: string, nowMs: number): number {
    const { current, preceding } = this.#readPeriods(service, nowMs);
    return Math.max(current, preceding);
  }

  #readPeriods(service: string, nowMs: number): Periods {
    const periods = this.#services.get(service);
    const ageMs = nowMs - (periods?.startedMs ?? Number.NEGATIVE_INFINITY);
    if (periods === undefined || ageMs >= 2 * PERIOD_MS) {
      return { startedMs: nowMs, current: 0, preceding: 0 };
    }
    return ageMs < PERIOD_MS
      ? periods
      : { startedMs: nowMs, current: 0, preceding: periods.current };
  }
}
