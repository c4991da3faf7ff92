/**
 * What an entry knows of one target's load: its own attempts there, counted
 * exactly, and the attempts of others, known from reports that are late. A
 * single late report says little about this moment, and entries that all go
 * by it run to the same target; so reports are smoothed, and show which
 * targets are busier for long, while the entry's own count shows this moment.
 * As the last report ages, the others' part fades to the pool's mean.
 */

import type { TargetLoad } from "@dandelionbank/types";
import type { PlacementState } from "./types.ts";

const REPORT_HALF_LIFE_MS = 5_000;
/** Time in which what was known before a report loses half of its weight. */
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
  /** This entry's attempts in flight there. */
  ownInFlight = 0;
  state: PlacementState = "open";
  suspectedUntilMs = 0;
  refusesUntilMs = 0;
  losses = 0;
  #reportedOthers: number | undefined;
  #reportedAtMs = 0;

  private constructor(options: TargetRecordOptions) {
    this.name = options.name;
    this.pool = options.pool;
    this.nameHash = options.nameHash;
  }

  static create(options: TargetRecordOptions): TargetRecord {
    return new TargetRecord(options);
  }

  report(load: TargetLoad, nowMs: number): void {
    const total = load.inFlight + load.queued;
    if (!Number.isFinite(total) || total < 0) return;
    const others = Math.max(0, total - this.ownInFlight);
    const known = this.#reportedOthers;
    const sinceMs = Math.max(0, nowMs - this.#reportedAtMs);
    const kept = 2 ** (-sinceMs / SMOOTHING_HALF_LIFE_MS);
    this.#reportedOthers = known === undefined
      ? others
      : others + (known - others) * kept;
    this.#reportedAtMs = nowMs;
  }

  /** The last report's part of others, or `undefined` before any report. */
  get reportedOthers(): number | undefined {
    return this.#reportedOthers;
  }

  /** Requests expected at the target, those of other entries included. */
  estimate(meanOthers: number, nowMs: number): number {
    return this.ownInFlight + this.#othersAt(meanOthers, nowMs);
  }

  isOpen(nowMs: number): boolean {
    return this.state !== "closed" && nowMs >= this.refusesUntilMs;
  }

  isSuspected(nowMs: number): boolean {
    return this.state === "suspected" || nowMs < this.suspectedUntilMs;
  }

  #othersAt(meanOthers: number, nowMs: number): number {
    if (this.#reportedOthers === undefined) return meanOthers;
    const ageMs = Math.max(0, nowMs - this.#reportedAtMs);
    const trust = 2 ** (-ageMs / REPORT_HALF_LIFE_MS);
    return meanOthers + (this.#reportedOthers - meanOthers) * trust;
  }
}
