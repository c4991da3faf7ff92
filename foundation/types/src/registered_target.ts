/** A target as it is registered in the platform's store. */

export interface RegisteredTarget {
  /** Names the target; it may start again under the same id. */
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
   * Identifies one run of the target's process: its id and, if it states it, its
   * start. What is known of one run does not count for another.
   */
  readonly run: string;
}
