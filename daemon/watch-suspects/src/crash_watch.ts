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
import type {
  SuspectReport,
  Verdict,
} from "@dandelionbank/quarantine-requests";
import { QUARANTINE_MS, SuspectTask } from "./suspect_task.ts";

/** Losses are told again for so long, since a datagram may be lost. */
const TELL_LOSSES_MS = 2_000;
/** Bounds what is told at a time, so that it fits into a datagram. */
const MAX_TOLD = 16;

export interface CrashWatchOptions {
  readonly logger: Logger;
  readonly readNowMs: () => number;
}

interface News extends SuspectReport {
  readonly untilMs: number;
}

export class CrashWatch {
  readonly #readNowMs: () => number;
  readonly #crashes = createCrashState();
  readonly #suspects: SuspectTask;
  #news: News[] = [];

  private constructor(options: CrashWatchOptions) {
    this.#readNowMs = options.readNowMs;
    this.#suspects = SuspectTask.create({
      ...options,
      publishLosses: (losses) =>
        this.#tell({ losses, quarantined: [] }, TELL_LOSSES_MS),
      // As long as it lasts, for entries that start meanwhile.
      publishQuarantine: (fingerprint) =>
        this.#tell({ losses: [], quarantined: [fingerprint] }, QUARANTINE_MS),
    });
  }

  static create(options: CrashWatchOptions): CrashWatch {
    return new CrashWatch(options);
  }

  /**
   * What the other entries have to know now. It goes with the status that they
   * are sent anyway: many targets may go down at once, and a message for each
   * loss would crowd the links just then.
   */
  get told(): SuspectReport {
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
  noteAnswered(fingerprint: string): void {
    this.#suspects.noteAnswered(fingerprint);
  }

  /** The answer was lost after the target may have begun the request. */
  noteLostAnswer(target: string, fingerprint: string): void {
    const nowMs = this.#readNowMs();
    this.#lose(
      target,
      recordLostAnswer(this.#crashes, { target, fingerprint, nowMs }),
    );
  }

  /** The target takes no connection, or its run is over. */
  noteTargetDown(target: string): void {
    const nowMs = this.#readNowMs();
    this.#lose(target, recordTargetDown(this.#crashes, { target, nowMs }));
  }

  takeTold({ losses, quarantined }: SuspectReport): void {
    if (losses.length > 0) this.#suspects.applyLosses(losses);
    for (const each of quarantined) {
      // Telling it again must not make it last longer.
      if (this.judge(each).kind === "quarantined") continue;
      this.#suspects.applyQuarantine(each);
    }
  }

  tick(): void {
    this.#suspects.tick();
  }

  #lose(target: string, fingerprints: readonly string[]): void {
    if (fingerprints.length === 0) return;
    this.#suspects.loseAll(
      fingerprints.map((fingerprint) => ({
        fingerprint,
        target,
        // Others that ran there may be lost later, or be told by other entries.
        alone: false,
      })),
    );
  }

  #tell(news: SuspectReport, forMs: number): void {
    const untilMs = this.#readNowMs() + forMs;
    this.#news.push({ ...news, untilMs });
  }
}
