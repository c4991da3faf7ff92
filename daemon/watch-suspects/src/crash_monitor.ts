/**
 * Detects requests that crash their targets, on a platform that does not report
 * crashes: correlates lost answers with targets that went down, quarantines the
 * requests and the prompt parts responsible, and shares what it finds with the
 * other entries.
 */

import {
  type Crash,
  createCrashState,
  type LostRequest,
  recordLostAnswer,
  recordTargetAlive,
  recordTargetDown,
} from "@dandelionbank/detect-crashes";
import type { Logger } from "@dandelionbank/log-events";
import {
  countLostParts,
  PromptQuarantine,
  type QuarantinedPart,
} from "@dandelionbank/quarantine-prompts";
import type {
  SuspectReport,
  Verdict,
} from "@dandelionbank/quarantine-requests";
import type { CrashStatus } from "@dandelionbank/track-entries";
import type { CrashMetrics } from "./crash_metrics.ts";
import { QUARANTINE_MS, SuspectTask } from "./suspect_task.ts";

/** How long a loss is repeated in the status, as a datagram may be lost. */
const LOSS_REPORT_DURATION_MS = 2_000;
/** Limits each list of a report, so that the status fits into a datagram. */
const MAX_ITEMS_PER_LIST = 16;

const PROMPT_QUARANTINE_OPTIONS = {
  quarantineMs: QUARANTINE_MS,
  // Two rounds of the status, so that one lost datagram is made up for.
  settleMs: 600,
  retentionMs: QUARANTINE_MS,
  maxParts: 10_000,
  maxCrashes: 256,
} as const;

/** What showed that a target is down. */
export type DownSign =
  | "connection refused"
  | "connection failed"
  | "removed from the store"
  | "started anew"
  | "another entry";

export interface CrashMonitorOptions {
  /** Name of this entry. */
  readonly entry: string;
  readonly logger: Logger;
  readonly metrics: CrashMetrics;
  readonly readNowMs: () => number;
  /** Called with each prompt part that this entry has found to crash targets. */
  readonly onCulprit: (part: QuarantinedPart) => void;
  /** Called when requests with a further prompt part are refused. */
  readonly onPartQuarantined: () => void;
}

interface ExpiringReport extends SuspectReport {
  readonly untilMs: number;
}

interface DownReport {
  readonly target: string;
  readonly atMs: number;
}

export class CrashMonitor {
  readonly #options: CrashMonitorOptions;
  readonly #readNowMs: () => number;
  readonly #crashState = createCrashState();
  readonly #suspects: SuspectTask;
  readonly #prompts: PromptQuarantine;
  #pendingReports: ExpiringReport[] = [];
  #downReports: readonly DownReport[] = [];

  private constructor(options: CrashMonitorOptions) {
    this.#options = options;
    this.#readNowMs = options.readNowMs;
    this.#prompts = PromptQuarantine.create({
      ...PROMPT_QUARANTINE_OPTIONS,
      entry: options.entry,
    });
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
    options.metrics.watchQuarantinedParts(() =>
      this.listQuarantinedParts().length
    );
  }

  static create(options: CrashMonitorOptions): CrashMonitor {
    return new CrashMonitor(options);
  }

  /**
   * The report for the other entries. It is sent as part of the regular status:
   * many targets may go down at once, and a message for each loss would then
   * overload the links.
   */
  get pendingReport(): CrashStatus {
    const nowMs = this.#readNowMs();
    const isRecent = ({ untilMs }: ExpiringReport) => nowMs < untilMs;
    this.#pendingReports = this.#pendingReports.filter(isRecent);
    this.#downReports = this.#downReports.filter(({ atMs }) =>
      nowMs - atMs < LOSS_REPORT_DURATION_MS
    );
    const reports = this.#pendingReports;
    return {
      suspects: {
        losses: reports.flatMap(({ losses }) => losses)
          .slice(-MAX_ITEMS_PER_LIST),
        quarantined: reports.flatMap(({ quarantined }) => quarantined)
          .slice(-MAX_ITEMS_PER_LIST),
      },
      prompts: this.#prompts.createReport(nowMs),
      downTargets: this.#downReports.map(({ target }) => target)
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

  /** Returns the first of a prompt's parts for which its request is refused. */
  findQuarantinedPart(parts: readonly string[]): QuarantinedPart | undefined {
    return this.#prompts.findQuarantined(parts, this.#readNowMs());
  }

  /** Records that a target has answered the request. */
  recordAnswer(fingerprint: string): void {
    this.#suspects.recordAnswer(fingerprint);
  }

  /** Records that a request has arrived, so that its parts are known. */
  recordArrival(promptParts: readonly string[]): void {
    if (promptParts.length > 0) this.#prompts.recordArrival(promptParts);
  }

  /** Records that a target has written an answer to the prompt, or most of it. */
  recordSurvival(promptParts: readonly string[]): void {
    if (promptParts.length === 0) return;
    this.#prompts.recordSurvival(promptParts, this.#readNowMs());
  }

  /** Records an answer lost after the target may have begun the request. */
  recordLostAnswer(run: string, request: LostRequest): void {
    const nowMs = this.#readNowMs();
    const crash = recordLostAnswer(this.#crashState, {
      target: run,
      request,
      nowMs,
    });
    if (crash !== undefined) this.#reportCrash(crash, "lost answer");
  }

  /** Records that the target accepts no connection, or has ended. */
  recordTargetDown(run: string, sign: DownSign): void {
    if (sign === "connection refused") {
      this.#downReports = [
        ...this.#downReports.filter((report) => report.target !== run),
        { target: run, atMs: this.#readNowMs() },
      ];
    }
    this.#recordDown(run, sign);
  }

  /** Records that the target has sent an answer. */
  recordTargetAlive(run: string): void {
    recordTargetAlive(this.#crashState, {
      target: run,
      nowMs: this.#readNowMs(),
    });
  }

  /** Applies the report of another entry. */
  applyReport(
    entry: string,
    { suspects, prompts, downTargets }: CrashStatus,
  ): void {
    for (const target of downTargets) {
      this.#recordDown(target, "another entry");
    }
    const { losses, quarantined } = suspects;
    if (losses.length > 0) this.#suspects.applyRemoteLosses(losses);
    for (const fingerprint of quarantined) {
      // A repeated report must not extend the quarantine.
      if (this.evaluate(fingerprint).kind === "quarantined") continue;
      this.#suspects.applyRemoteQuarantine(fingerprint);
    }
    const nowMs = this.#readNowMs();
    const adopted = this.#prompts.applyReport(prompts, { entry, nowMs });
    this.#reportAdopted(adopted, entry);
  }

  /** Refuses prompt parts that entries have found before this one started. */
  adoptQuarantinedParts(
    quarantined: readonly QuarantinedPart[],
    source: string,
  ): void {
    const nowMs = this.#readNowMs();
    const adopted = quarantined.filter((part) =>
      this.#prompts.adopt(part, nowMs)
    );
    this.#reportAdopted(adopted, source);
  }

  /** Lists the prompt parts whose requests are refused now. */
  listQuarantinedParts(): readonly QuarantinedPart[] {
    return this.#prompts.listQuarantined(this.#readNowMs());
  }

  tick(): void {
    this.#suspects.tick();
    const { quarantineMs } = PROMPT_QUARANTINE_OPTIONS;
    const culprits = this.#prompts.tick(this.#readNowMs());
    for (const { part, targets, requests } of culprits) {
      this.#options.logger.log("promptPartQuarantined", {
        part,
        quarantineMs,
        requests,
        targets: targets.join(", "),
      });
      this.#options.onCulprit({ part, remainingMs: quarantineMs });
    }
    if (culprits.length > 0) this.#options.onPartQuarantined();
  }

  #recordDown(target: string, sign: DownSign): void {
    const nowMs = this.#readNowMs();
    const crash = recordTargetDown(this.#crashState, { target, nowMs });
    if (crash.isNew) this.#options.metrics.countTargetDown();
    if (crash.isNew || crash.added.length > 0) this.#reportCrash(crash, sign);
  }

  #reportCrash(
    { target, atMs, lost, added }: Crash,
    sign: DownSign | "lost answer",
  ): void {
    const { logger, metrics } = this.#options;
    metrics.countLostRequests(added.length);
    const lostRequests = added.length;
    logger.log("targetDown", { target, sign, lostRequests });
    if (lostRequests === 0) return;
    const fingerprints = new Set(
      added.flatMap(({ fingerprint }) => fingerprint ?? []),
    );
    const losses = [...fingerprints]
      // More losses at this target may follow, also from other entries.
      .map((fingerprint) => ({ fingerprint, target, alone: false }));
    if (losses.length > 0) this.#suspects.reportLosses(losses);
    const nowMs = this.#readNowMs();
    const prompts = lost.map(({ promptParts }) => promptParts)
      .filter((parts) => parts.length > 0);
    this.#prompts.recordCrash({
      target,
      ageMs: nowMs - atMs,
      requests: prompts.length,
      parts: countLostParts(prompts),
    }, nowMs);
  }

  #reportAdopted(adopted: readonly QuarantinedPart[], source: string): void {
    for (const { part, remainingMs } of adopted) {
      this.#options.logger.log("promptPartQuarantineAdopted", {
        part,
        source,
        remainingMs: Math.round(remainingMs),
      });
    }
    if (adopted.length > 0) this.#options.onPartQuarantined();
  }

  #addToReport(report: SuspectReport, durationMs: number): void {
    const untilMs = this.#readNowMs() + durationMs;
    this.#pendingReports.push({ ...report, untilMs });
  }
}
