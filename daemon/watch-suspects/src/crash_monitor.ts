/**
 * Detects requests that crash their targets, on a platform that does not report
 * crashes: correlates lost answers with targets that went down, quarantines the
 * requests responsible, and shares both with the other entries.
 */

import {
  createCrashState,
  recordLostAnswer,
  recordTargetDown,
} from "@dandelionbank/detect-crashes";
import type { Logger } from "@dandelionbank/log-events";
import type {
  SuspectReport,
  Verdict,
} from "@dandelionbank/quarantine-requests";
import type { CrashMetrics } from "./crash_metrics.ts";
import { QUARANTINE_MS, SuspectTask } from "./suspect_task.ts";

/** How long a loss is repeated in the status, as a datagram may be lost. */
const LOSS_REPORT_DURATION_MS = 2_000;
/** Limits each list of a report, so that the status fits into a datagram. */
const MAX_ITEMS_PER_LIST = 16;

/** What showed that a target is down. */
export type DownSign = "connection failed" | "removed from the store";

export interface CrashMonitorOptions {
  readonly logger: Logger;
  readonly metrics: CrashMetrics;
  readonly readNowMs: () => number;
}

interface ExpiringReport extends SuspectReport {
  readonly untilMs: number;
}

export class CrashMonitor {
  readonly #options: CrashMonitorOptions;
  readonly #readNowMs: () => number;
  readonly #crashState = createCrashState();
  readonly #suspects: SuspectTask;
  #pendingReports: ExpiringReport[] = [];

  private constructor(options: CrashMonitorOptions) {
    this.#options = options;
    this.#readNowMs = options.readNowMs;
    this.#suspects = SuspectTask.create({
      ...options,
      broadcastLosses: (losses) =>
        this.#addToReport({ losses, quarantined: [] }, LOSS_REPORT_DURATION_MS),
      // Repeated as long as the quarantine lasts, for entries that start
      // meanwhile.
      broadcastQuarantine: (fingerprint) =>
        this.#addToReport(
          { losses: [], quarantined: [fingerprint] },
          QUARANTINE_MS,
        ),
    });
  }

  static create(options: CrashMonitorOptions): CrashMonitor {
    return new CrashMonitor(options);
  }

  /**
   * The report for the other entries. It is sent as part of the regular status:
   * many targets may go down at once, and a message for each loss would then
   * overload the links.
   */
  get pendingReport(): SuspectReport {
    const nowMs = this.#readNowMs();
    this.#pendingReports = this.#pendingReports.filter(({ untilMs }) =>
      nowMs < untilMs
    );
    return {
      losses: this.#pendingReports.flatMap(({ losses }) => losses).slice(
        -MAX_ITEMS_PER_LIST,
      ),
      quarantined: this.#pendingReports.flatMap(({ quarantined }) =>
        quarantined
      )
        .slice(-MAX_ITEMS_PER_LIST),
    };
  }

  /** False while there are no suspects, so that requests need no check. */
  get hasSuspects(): boolean {
    return this.#suspects.hasSuspects;
  }

  evaluate(fingerprint: string): Verdict {
    return this.#suspects.evaluate(fingerprint);
  }

  /** Records that a target has answered the request. */
  recordAnswer(fingerprint: string): void {
    this.#suspects.recordAnswer(fingerprint);
  }

  /** Records an answer lost after the target may have begun the request. */
  recordLostAnswer(target: string, fingerprint: string): void {
    const nowMs = this.#readNowMs();
    const fingerprints = recordLostAnswer(this.#crashState, {
      target,
      fingerprint,
      nowMs,
    });
    if (fingerprints.length === 0) return;
    this.#logTargetDown(target, { sign: "lost answer", fingerprints });
    this.#reportLosses(target, fingerprints);
  }

  /** Records that the target accepts no connection, or has ended. */
  recordTargetDown(target: string, sign: DownSign): void {
    const nowMs = this.#readNowMs();
    const { isNew, fingerprints } = recordTargetDown(this.#crashState, {
      target,
      nowMs,
    });
    if (isNew) this.#options.metrics.countTargetDown();
    if (isNew || fingerprints.length > 0) {
      this.#logTargetDown(target, { sign, fingerprints });
    }
    this.#reportLosses(target, fingerprints);
  }

  /** Applies the report of another entry. */
  applyReport({ losses, quarantined }: SuspectReport): void {
    if (losses.length > 0) this.#suspects.applyRemoteLosses(losses);
    for (const fingerprint of quarantined) {
      // A repeated report must not extend the quarantine.
      if (this.evaluate(fingerprint).kind === "quarantined") continue;
      this.#suspects.applyRemoteQuarantine(fingerprint);
    }
  }

  tick(): void {
    this.#suspects.tick();
  }

  #logTargetDown(
    target: string,
    { sign, fingerprints }: {
      readonly sign: DownSign | "lost answer";
      readonly fingerprints: readonly string[];
    },
  ): void {
    const { logger, metrics } = this.#options;
    metrics.countLostRequests(fingerprints.length);
    logger.log("targetDown", {
      target,
      sign,
      lostRequests: fingerprints.length,
    });
  }

  #reportLosses(target: string, fingerprints: readonly string[]): void {
    if (fingerprints.length === 0) return;
    this.#suspects.reportLosses(
      fingerprints.map((fingerprint) => ({
        fingerprint,
        target,
        // More losses at this target may follow, also from other entries.
        alone: false,
      })),
    );
  }

  #addToReport(report: SuspectReport, durationMs: number): void {
    const untilMs = this.#readNowMs() + durationMs;
    this.#pendingReports.push({ ...report, untilMs });
  }
}
