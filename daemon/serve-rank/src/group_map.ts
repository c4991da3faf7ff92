/**
 * Caches the expert map in force in a group, which assigns the experts of each
 * set to ranks, and reads it from the ranks if unknown.
 */

import { createInitialMap } from "@dandelionbank/plan-experts";
import type {
  ExpertMap,
  ExpertProfile,
  HeldExperts,
  RankReport,
} from "@dandelionbank/types";

interface VersionedMap {
  readonly version: number;
  readonly epoch: number;
  readonly map: ExpertMap;
}

export interface GroupMapOptions {
  /** Returns the experts that a rank holds; undefined if it does not answer. */
  readonly readExperts: (rank: number) => Promise<HeldExperts | undefined>;
}

export class GroupMap {
  readonly #options: GroupMapOptions;
  #current: VersionedMap | undefined;

  private constructor(options: GroupMapOptions) {
    this.#options = options;
  }

  static create(options: GroupMapOptions): GroupMap {
    return new GroupMap(options);
  }

  /** Stores the map that has come into force. */
  setCurrent(current: VersionedMap): void {
    this.#current = current;
  }

  /**
   * Returns the map that all ranks report; undefined while their reports
   * differ.
   */
  async read(
    reports: readonly RankReport[],
    profile: ExpertProfile,
  ): Promise<ExpertMap | undefined> {
    const [first] = reports;
    if (first === undefined) return undefined;
    const { mapVersion: version, epoch } = first;
    const isShared = reports.every((report) =>
      report.mapVersion === version && report.epoch === epoch
    );
    if (!isShared) return undefined;
    const current = this.#current;
    if (current?.version === version && current.epoch === epoch) {
      return current.map;
    }
    // Version 0 is the map that every group starts with.
    const map = version === 0
      ? createInitialMap(profile, reports.length)
      : await this.#readFromRanks(reports, profile);
    if (map !== undefined) this.#current = { version, epoch, map };
    return map;
  }

  async #readFromRanks(
    reports: readonly RankReport[],
    { layerSets }: ExpertProfile,
  ): Promise<ExpertMap | undefined> {
    const held = await Promise.all(
      reports.map(async ({ rank, mapVersion, epoch }) => {
        const experts = await this.#options.readExperts(rank);
        const isCurrent = experts?.version === mapVersion &&
          experts.epoch === epoch;
        return isCurrent ? { rank, sets: experts.sets } : undefined;
      }),
    );
    const ranks = held.flatMap((rank) => rank ?? [])
      .sort((left, right) => left.rank - right.rank);
    if (ranks.length < reports.length) return undefined;
    return Array.from(
      { length: layerSets },
      (_, set) => ranks.map(({ sets }) => sets[set] ?? []),
    );
  }
}
