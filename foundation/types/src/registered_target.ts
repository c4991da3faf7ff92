/** A target as it tells of itself in the platform's store. */

export interface RegisteredTarget {
  /** Names one run of the target, or its place if it starts again. */
  readonly id: string;
  /** The store's revision of the entry's last change. */
  readonly revision: number;
  readonly service: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly isDraining: boolean;
}
