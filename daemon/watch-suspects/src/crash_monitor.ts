/**
 * Requests that crash their targets, on a platform where nobody says so: takes
 * lost answers and targets that went down, refuses what is to blame, and says
 * what the other entries have to know.
 */

import {
  createCrashState,
  recordLostAnswer,
  recordTargetDown,
} from "@dandelionbank/detect-crashes";
import type { Logger } from "@dandelionbank/log-events";
import type { ToldSuspects, Verdict } from "@dandelionbank/quarantine-requests";
import { QUARANTINE_MS, SuspectTask } from "./suspect_task.ts";

/** Losses are told again for so long, since a datagram may be lost. */
const TELL_LOSSES_MS = 2_000;
/** Bounds what is told at a time, so that it fits into a datagram. */
const MAX_TOLD = 16;

export interface CrashMonitorOptions {
  readonly logger: Logger;
  readonly readNowMs: () => number;
}

interface News extends ToldSuspects {
  readonly untilMs: number;
}

export class CrashMonitor {
  readonly #readNowMs: () => number;
  readonly #crashes = createCrashState();
  readonly #suspects: SuspectTask;
  #news: News[] = [];

  private constructor(options: CrashMonitorOptions) {
    this.#readNowMs = options.readNowMs;
    this.#suspects = SuspectTask.create({
      ...options,
      broadcastLosses: (losses) =>
        this.#tell({ losses, quarantined: [] }, TELL_LOSSES_MS),
      // As long as it lasts, for entries that start meanwhile.
      broadcastQuarantine: (fingerprint) =>
        this.#tell({ losses: [], quarantined: [fingerprint] }, QUARANTINE_MS),
    });
  }

  static create(options: CrashMonitorOptions): CrashMonitor {
    return new CrashMonitor(options);
  }

  /**
   * What the other entries have to know now. It goes with the status that they
   * are sent anyway: many targets may go down at once, and a message for each
   * loss would crowd the links just then.
   */
  get pendingReport(): ToldSuspects {
    const nowMs = this.#readNowMs();
    this.#news = this.#news.filter(({ untilMs }) => nowMs < untilMs);
    return {
      losses: this.#news.flatMap(({ losses }) => losses).slice(-MAX_TOLD),
      quarantined: this.#news.flatMap(({ quarantined }) => quarantined)
        .slice(-MAX_TOLD),
    };
  }

  /** False while nothing is suspected, so that nothing has to be judged. */
  get hasSuspects(): boolean {
    return this.#suspects.hasSuspects;
  }

  judge(fingerprint: string): Verdict {
    return this.#suspects.judge(fingerprint);
  }

  /** A target has answered the request. */
  recordAnswer(fingerprint: string): void {
    this.#suspects.recordAnswer(fingerprint);
  }

  /** The answer was lost after the target may have begun the request. */
  recordLostAnswer(target: string, fingerprint: string): void {
    const nowMs = this.#readNowMs();
    this.#lose(
      target,
      recordLostAnswer(this.#crashes, { target, fingerprint, nowMs }),
    );
  }

  /** The target takes no connection, or its run is over. */
  recordTargetDown(target: string): void {
    const nowMs = this.#readNowMs();
    this.#lose(target, recordTargetDown(this.#crashes, { target, nowMs }));
  }

  applyReport({ losses, quarantined }: ToldSuspects): void {
    if (losses.length > 0) this.#suspects.applyRemoteLosses(losses);
    for (const each of quarantined) {
      // Telling it again must not make it last longer.
      if (this.judge(each).kind === "quarantined") continue;
      this.#suspects.applyRemoteQuarantine(each);
    }
  }

  tick(): void {
    this.#suspects.tick();
  }

  #lose(target: string, fingerprints: readonly string[]): void {
    if (fingerprints.length === 0) return;
    this.#suspects.reportLosses(
      fingerprints.map((fingerprint) => ({
        fingerprint,
        target,
        // Others that ran there may be lost later, or be told by other entries.
        alone: false,
      })),
    );
  }

  #tell(news: ToldSuspects, forMs: number): void {
    const untilMs = this.#readNowMs() + forMs;
    this.#news.push({ ...news, untilMs });
  }
}
