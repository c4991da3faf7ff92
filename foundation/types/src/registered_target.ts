/** A target as it is registered in the platform's store. */

export interface RegisteredTarget {
  /** Identifies one run of the target, or a place that it keeps across restarts. */
  readonly id: string;
  /** The store's revision at which the registration last changed. */
  readonly revision: number;
  readonly service: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /**
   * Start of the target's process in Unix milliseconds, which distinguishes the
   * runs that share an id; undefined if it states none.
   */
  readonly startedAtMs: number | undefined;
}
