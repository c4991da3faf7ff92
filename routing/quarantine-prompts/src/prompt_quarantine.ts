/**
 * Identifies parts of prompts that crash each target that begins to write an
 * answer on them, and refuses requests with such a part.
 *
 * Load pattern: requests of which no two are alike share one part of their
 * prompts and crash one target after the other, beside sound requests with the
 * same organisation and the same other parts. In a group of ranks each crash
 * interrupts the requests at all ranks, so that hardly any is served until the
 * part is refused. Entries combine what they have lost and what they have seen
 * answered; whole requests that crash targets are found by
 * `quarantine-requests`.
 */

import { CrashRecords, listParts } from "./crash_records.ts";
import { findCulprit } from "./find_culprit.ts";
import { PartArrivals } from "./part_arrivals.ts";
import { PartSurvivals } from "./part_survivals.ts";
import type {
  CrashReport,
  Culprit,
  LostPart,
  PromptQuarantineOptions,
  PromptReport,
  QuarantinedPart,
  SurvivedPart,
} from "./types.ts";

/** How long a crash is repeated in reports, as a datagram may be lost. */
const REPORT_MS = 2_000;
/** Bound the lists of a report, so that the status fits into a datagram. */
const MAX_REPORTED_CRASHES = 8;
const MAX_REPORTED_PARTS = 32;

interface OwnCrash {
  readonly report: Omit<CrashReport, "ageMs">;
  readonly atMs: number;
  readonly untilMs: number;
}

export class PromptQuarantine {
  readonly #options: PromptQuarantineOptions;
  readonly #arrivals: PartArrivals;
  readonly #survivals: PartSurvivals;
  readonly #crashes: CrashRecords;
  /** Until when each culprit is refused; kept afterwards for the retention time. */
  readonly #quarantinedUntilMs = new Map<string, number>();
  #ownCrashes: readonly OwnCrash[] = [];

  private constructor(options: PromptQuarantineOptions) {
    this.#options = options;
    this.#arrivals = PartArrivals.create(options.maxParts);
    this.#survivals = PartSurvivals.create(options.maxParts);
    this.#crashes = CrashRecords.create(options);
  }

  static create(options: PromptQuarantineOptions): PromptQuarantine {
    return new PromptQuarantine(options);
  }

  /** Returns the first of the parts that is refused now. */
  findQuarantined(
    parts: readonly string[],
    nowMs: number,
  ): QuarantinedPart | undefined {
    if (this.#quarantinedUntilMs.size === 0) return undefined;
    for (const part of parts) {
      const remainingMs = (this.#quarantinedUntilMs.get(part) ?? 0) - nowMs;
      if (remainingMs > 0) return { part, remainingMs };
    }
    return undefined;
  }

  /** Records that a request with these parts has arrived. */
  recordArrival(parts: readonly string[]): void {
    this.#arrivals.record(parts);
  }

  /** Records that a target wrote an answer to a prompt and did not crash. */
  recordSurvival(parts: readonly string[], nowMs: number): void {
    this.#survivals.recordPrompt(parts, nowMs);
    for (const part of parts) {
      const untilMs = this.#quarantinedUntilMs.get(part);
      if (untilMs !== undefined && untilMs <= nowMs) {
        this.#quarantinedUntilMs.delete(part);
      }
    }
  }

  /** Records a crash that interrupted requests of this entry. */
  recordCrash(crash: CrashReport, nowMs: number): void {
    const { target, requests, parts, ageMs } = crash;
    if (requests === 0) return;
    this.#addCrash(crash, { entry: this.#options.entry, nowMs });
    this.#ownCrashes = [
      ...this.#ownCrashes.filter(({ report }) => report.target !== target),
      {
        report: { target, requests, parts },
        atMs: nowMs - ageMs,
        untilMs: nowMs + REPORT_MS,
      },
    ];
  }

  /** Applies another entry's report; returns the culprits that are new here. */
  applyReport(
    report: PromptReport,
    { entry, nowMs }: { readonly entry: string; readonly nowMs: number },
  ): readonly QuarantinedPart[] {
    this.#survivals.recordPromptCount(entry, report.survivedPrompts);
    for (const { part, ageMs } of report.survived) {
      this.#survivals.recordPart(part, nowMs - ageMs);
    }
    for (const crash of report.crashes) {
      this.#addCrash(crash, { entry, nowMs });
    }
    return report.quarantined.filter((quarantined) =>
      this.adopt(quarantined, nowMs)
    );
  }

  /** Refuses a part as another entry does; returns whether that is a change. */
  adopt({ part, remainingMs }: QuarantinedPart, nowMs: number): boolean {
    const { quarantineMs, settleMs } = this.#options;
    // The times of two entries differ by the delay of the report.
    const isEnding = remainingMs < settleMs;
    if (isEnding || this.findQuarantined([part], nowMs)) return false;
    this.#quarantine(part, nowMs + Math.min(remainingMs, quarantineMs));
    return true;
  }

  /** Evaluates the crashes that all entries have reported; returns new culprits. */
  tick(nowMs: number): readonly Culprit[] {
    this.#expire(nowMs);
    const culprits: Culprit[] = [];
    for (;;) {
      const culprit = this.#findCulprit(nowMs);
      if (culprit === undefined) return culprits;
      this.#quarantine(culprit.part, nowMs + this.#options.quarantineMs);
      culprits.push(culprit);
    }
  }

  /** Lists the parts that are refused now, the latest first. */
  listQuarantined(nowMs: number): readonly QuarantinedPart[] {
    return [...this.#quarantinedUntilMs]
      .map(([part, untilMs]) => ({ part, remainingMs: untilMs - nowMs }))
      .filter(({ remainingMs }) => remainingMs > 0)
      .reverse();
  }

  createReport(nowMs: number): PromptReport {
    this.#ownCrashes = this.#ownCrashes.filter(({ untilMs }) =>
      nowMs < untilMs
    );
    const crashes = this.#ownCrashes.slice(-MAX_REPORTED_CRASHES)
      .map(({ report, atMs }) => ({
        ...report,
        ageMs: nowMs - atMs,
        parts: this.#selectReported(report.parts),
      }));
    return {
      crashes,
      survived: this.#listSurvivedSuspects(nowMs),
      survivedPrompts: this.#survivals.ownPromptCount,
      quarantined: this.listQuarantined(nowMs).slice(0, MAX_REPORTED_PARTS),
    };
  }

  /** Selects the parts that matter most: those that were never answered. */
  #selectReported(parts: readonly LostPart[]): readonly LostPart[] {
    const hasSurvived = ({ part }: LostPart) =>
      this.#survivals.find(part) !== undefined;
    return [
      ...parts.filter((part) => !hasSurvived(part)),
      ...parts.filter(hasSurvived),
    ].slice(0, MAX_REPORTED_PARTS);
  }

  #addCrash(
    crash: CrashReport,
    source: { readonly entry: string; readonly nowMs: number },
  ): void {
    const record = this.#crashes.record(crash, source);
    record.isExplained ||= crash.parts.some(({ part }) =>
      this.findQuarantined([part], source.nowMs) !== undefined
    );
  }

  #findCulprit(nowMs: number): Culprit | undefined {
    const { settleMs } = this.#options;
    const settled = this.#crashes.all.filter(({ changedAtMs }) =>
      nowMs - changedAtMs >= settleMs
    );
    return findCulprit(settled, {
      survivals: this.#survivals,
      arrivals: this.#arrivals,
      wasCulprit: (part) => this.#quarantinedUntilMs.has(part),
    });
  }

  #quarantine(part: string, untilMs: number): void {
    // Keeps the order of the latest quarantine.
    this.#quarantinedUntilMs.delete(part);
    this.#quarantinedUntilMs.set(part, untilMs);
    this.#crashes.explain(part);
  }

  /** Lists the parts of unexplained crashes that this entry has seen answered. */
  #listSurvivedSuspects(nowMs: number): readonly SurvivedPart[] {
    const suspects = new Set(
      this.#crashes.all
        .filter(({ isExplained }) => !isExplained)
        .flatMap(listParts)
        .map(({ part }) => part),
    );
    return [...suspects]
      .flatMap((part) => {
        const survival = this.#survivals.find(part);
        return survival === undefined
          ? []
          : [{ part, ageMs: nowMs - survival.atMs }];
      })
      .sort((a, b) => a.ageMs - b.ageMs)
      .slice(0, MAX_REPORTED_PARTS);
  }

  #expire(nowMs: number): void {
    this.#crashes.expire(nowMs);
    for (const [part, untilMs] of this.#quarantinedUntilMs) {
      if (nowMs - untilMs >= this.#options.retentionMs) {
        this.#quarantinedUntilMs.delete(part);
      }
    }
  }
}
