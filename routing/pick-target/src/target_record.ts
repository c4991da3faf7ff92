/**
 * One entry's load estimate for one target. The entry's own attempts in flight
 * are counted exactly; attempts of other entries are known only from delayed
 * load reports.
 *
 * If all entries acted on the latest report alone, they would all choose the
 * same target. Reports are therefore smoothed and show which targets are busier
 * over a longer time, while the entry's own count follows the current load. As
 * the last report ages, the estimate for other entries decays to the pool mean.
 */

import type { TargetLoad } from "@dandelionbank/types";
import type { TargetPlacementState } from "./types.ts";

/** Time in which the latest report loses half of its weight to the pool mean. */
const REPORT_HALF_LIFE_MS = 5_000;
/** Time in which earlier reports lose half of their weight to a new one. */
const SMOOTHING_HALF_LIFE_MS = 6_000;

export interface TargetRecordOptions {
  readonly name: string;
  readonly pool: string;
  readonly nameHash: number;
}

export class TargetRecord {
  readonly name: string;
  readonly pool: string;
  readonly nameHash: number;
  /** This entry's attempts in flight at the target. */
  ownInFlight = 0;
  state: TargetPlacementState = "open";
  suspectedUntilMs = 0;
  refusesUntilMs = 0;
  consecutiveLosses = 0;
  #reportedFromOthers: number | undefined;
  #reportedAtMs = 0;

  private constructor(options: TargetRecordOptions) {
    this.name = options.name;
    this.pool = options.pool;
    this.nameHash = options.nameHash;
  }

  static create(options: TargetRecordOptions): TargetRecord {
    return new TargetRecord(options);
  }

  recordLoad(load: TargetLoad, nowMs: number): void {
    const total = load.inFlight + load.queued;
    if (!Number.isFinite(total) || total < 0) return;
    const fromOthers = Math.max(0, total - this.ownInFlight);
    const previous = this.#reportedFromOthers;
    const sinceMs = Math.max(0, nowMs - this.#reportedAtMs);
    const previousWeight = 2 ** (-sinceMs / SMOOTHING_HALF_LIFE_MS);
    this.#reportedFromOthers = previous === undefined
      ? fromOthers
      : fromOthers + (previous - fromOthers) * previousWeight;
    this.#reportedAtMs = nowMs;
  }

  /** Smoothed requests of other entries; `undefined` before any report. */
  get reportedFromOthers(): number | undefined {
    return this.#reportedFromOthers;
  }

  /** Estimated requests at the target, including those of other entries. */
  estimate(meanFromOthers: number, nowMs: number): number {
    return this.ownInFlight + this.#estimateFromOthers(meanFromOthers, nowMs);
  }

  isSuspected(nowMs: number): boolean {
    return this.state === "suspected" || nowMs < this.suspectedUntilMs;
  }

  #estimateFromOthers(meanFromOthers: number, nowMs: number): number {
    if (this.#reportedFromOthers === undefined) return meanFromOthers;
    const ageMs = Math.max(0, nowMs - this.#reportedAtMs);
    const reportWeight = 2 ** (-ageMs / REPORT_HALF_LIFE_MS);
    return meanFromOthers +
      (this.#reportedFromOthers - meanFromOthers) * reportWeight;
  }
}
