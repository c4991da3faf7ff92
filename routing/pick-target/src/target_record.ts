/**
 * What an entry knows of one target's load: its own attempts there, counted
 * exactly, and the attempts of others, known from reports that age. As a
 * report ages, the others' part fades from what it said to the pool's mean,
 * so that a target is neither avoided nor flooded for an old report's sake.
 */

import type { TargetLoad } from "@dandelionbank/types";
import type { PlacementState } from "./types.ts";

const REPORT_HALF_LIFE_MS = 1_000;

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
    this.#reportedOthers = Math.max(0, total - this.ownInFlight);
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
