/** The expert maps of one rank: staged ones, and from which step each is used. */

export interface MapSwitch {
  readonly mapVersion: number;
  readonly fromStep: number;
}

export class MapSchedule {
  readonly #staged = new Set<number>([0]);
  #switches: MapSwitch[] = [{ mapVersion: 0, fromStep: 0 }];

  static create(): MapSchedule {
    return new MapSchedule();
  }

  stage(mapVersion: number): void {
    this.#staged.add(mapVersion);
  }

  isStaged(mapVersion: number): boolean {
    return this.#staged.has(mapVersion);
  }

  /** A later order for the same step replaces an earlier one. */
  scheduleSwitch(order: MapSwitch): void {
    this.#switches = this.#switches
      .filter(({ fromStep }) => fromStep !== order.fromStep)
      .concat(order)
      .sort((a, b) => a.fromStep - b.fromStep);
  }

  getVersionAt(step: number): number {
    const last = this.#switches.findLast(({ fromStep }) => fromStep <= step);
    return last?.mapVersion ?? 0;
  }
}
