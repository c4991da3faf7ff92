/** The expert maps of a rank: which are staged, and from which step each is used. */

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

  /** Replaces any switch already scheduled for the same step. */
  scheduleSwitch(mapSwitch: MapSwitch): void {
    this.#switches = this.#switches
      .filter(({ fromStep }) => fromStep !== mapSwitch.fromStep)
      .concat(mapSwitch)
      .sort((a, b) => a.fromStep - b.fromStep);
  }

  /** Returns the version of the map that is used in the given step. */
  getVersionAt(step: number): number {
    const current = this.#switches.findLast(({ fromStep }) => fromStep <= step);
    return current?.mapVersion ?? 0;
  }
}
