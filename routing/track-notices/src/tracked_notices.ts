/**
 * Keeps what targets announce in their answers, and says when this entry may send
 * a target another request.
 *
 * Load pattern: targets that leave or are overloaded while callers keep coming.
 * A leaving target gets no new work until its registration ends; entries tell
 * each other. A target that names a time to return gets nothing from this entry
 * until then. After that it gets one trial request, and the others only once that
 * is answered, as the callers that were refused meanwhile would overload it again.
 * Limits are divided among the entries by `share-target-limits`.
 */

import { mixHashes, type SendLimits } from "@dandelionbank/pick-target";
import {
  type LimitChange,
  type LimitReport,
  MAX_REPORTS,
  REPORT_MS,
  TargetLimits,
  type TargetLimitsOptions,
} from "@dandelionbank/share-target-limits";
import type { TargetNotices } from "@dandelionbank/types";

/** A longer time to return is cut to this, as it is probably a mistake. */
const MAX_NOT_BEFORE_MS = 600_000;
/** Time over which the trial requests of all entries are spread. */
const TRIAL_SPREAD_MS = 250;
/** Time after which another trial request is sent if one is not answered. */
const TRIAL_TIMEOUT_MS = 1_000;
/** Expected time until the answer to a trial request begins. */
const TRIAL_ANSWER_MS = 250;
const HASH_RANGE = 2 ** 32;

/** What an entry has observed of its targets, for the other entries. */
export interface NoticeReports {
  readonly limits: readonly LimitReport[];
  /** Targets that said that they leave. */
  readonly leaving: readonly string[];
}

/** What a target may announce. */
export type NoticeKind = "leaving" | "notBefore" | "limit";

/** A change of what counts for a target. */
export type NoticeChange =
  | { readonly kind: "limit"; readonly change: LimitChange }
  | {
    readonly kind: "leaving";
    readonly target: string;
    /** True if this entry observed it, false if another entry reported it. */
    readonly isOwn: boolean;
  }
  | {
    readonly kind: "notBefore";
    readonly target: string;
    readonly forMs: number;
  }
  | {
    readonly kind: "rejected";
    readonly target: string;
    readonly value: string;
  };

interface LeavingTarget {
  readonly observedAtMs: number;
  readonly isOwn: boolean;
}

/** A target that named a time to return. */
interface WaitingTarget {
  /** End of the longest time that it has named. */
  untilMs: number;
  /** When the latest trial request was sent; undefined before the first. */
  trialSentAtMs: number | undefined;
}

export class TrackedNotices implements SendLimits {
  readonly #options: TargetLimitsOptions;
  readonly #limits: TargetLimits;
  readonly #leaving = new Map<string, LeavingTarget>();
  readonly #waiting = new Map<string, WaitingTarget>();

  private constructor(options: TargetLimitsOptions) {
    this.#options = options;
    this.#limits = TargetLimits.create(options);
  }

  static create(options: TargetLimitsOptions): TrackedNotices {
    return new TrackedNotices(options);
  }

  /** Records the notices of an answer that the target itself gave. */
  recordAnswer(
    { target, notices, sentAtMs }: {
      readonly target: string;
      readonly notices: TargetNotices;
      /** When the request was sent. */
      readonly sentAtMs: number;
    },
    nowMs: number,
  ): readonly NoticeChange[] {
    const { limitPerS: perSecond, isLeaving } = notices;
    const answer = { target, perSecond, sentAtMs };
    const change = this.#limits.recordAnswer(answer, nowMs);
    return [
      ...(change === undefined ? [] : [{ kind: "limit" as const, change }]),
      ...(isLeaving ? this.#recordLeaving(target, { isOwn: true, nowMs }) : []),
      ...this.#recordNotBefore({ target, notices, sentAtMs }, nowMs),
    ];
  }

  /** Applies what another entry has observed. */
  applyReports(
    { limits, leaving }: NoticeReports,
    nowMs: number,
  ): readonly NoticeChange[] {
    return [
      ...this.#limits.applyReports(limits, nowMs)
        .map((change) => ({ kind: "limit" as const, change })),
      ...leaving.flatMap((target) =>
        this.#recordLeaving(target, { isOwn: false, nowMs })
      ),
    ];
  }

  /** This entry's latest observations, for the other entries. */
  listReports(nowMs: number): NoticeReports {
    const leaving = [...this.#leaving]
      .filter(([, { isOwn, observedAtMs }]) =>
        isOwn && nowMs - observedAtMs < REPORT_MS
      )
      .slice(-MAX_REPORTS)
      .map(([target]) => target);
    return { limits: this.#limits.listReports(nowMs), leaving };
  }

  /** Sets the names of the other live entries. */
  setOtherEntries(names: readonly string[], nowMs: number): void {
    this.#limits.setOtherEntries(names, nowMs);
  }

  /** Ends all notices of targets that are no longer registered. */
  retainTargets(targets: ReadonlySet<string>): void {
    this.#limits.retainTargets(targets);
    for (const notices of [this.#leaving, this.#waiting]) {
      for (const target of notices.keys()) {
        if (!targets.has(target)) notices.delete(target);
      }
    }
  }

  isLeaving(target: string): boolean {
    return this.#leaving.has(target);
  }

  /**
   * Returns the time until this entry may send the target another request: 0 if
   * it may now, infinite if it may not at all.
   */
  readDelayMs(target: string, nowMs: number): number {
    if (this.isLeaving(target)) return Infinity;
    const limitMs = this.#limits.readDelayMs(target, nowMs);
    return Math.max(limitMs, this.#readReturnMs(target, nowMs));
  }

  /** This entry's share of the target's limit; undefined if it has none. */
  readSharePerMs(target: string): number | undefined {
    return this.#limits.readSharePerMs(target);
  }

  /**
   * Returns how many of the target's slots all entries together can keep busy
   * with requests that run for `runMs`.
   */
  countUsableSlots(
    { target, slots, runMs }: {
      readonly target: string;
      readonly slots: number;
      readonly runMs: number;
    },
    nowMs: number,
  ): number {
    if (this.isLeaving(target)) return 0;
    const waiting = this.#waiting.get(target);
    if (waiting !== undefined) {
      const isTrialDue = nowMs >= this.#findTrialMs(target, waiting);
      return isTrialDue ? Math.min(1, slots) : 0;
    }
    const limitPerMs = this.#limits.readLimitPerMs(target);
    return limitPerMs === undefined
      ? slots
      : Math.min(slots, limitPerMs * runMs);
  }

  /** Counts the targets with a notice in force, by its kind. */
  countByKind(nowMs: number): Readonly<Record<NoticeKind, number>> {
    const waiting = [...this.#waiting.values()]
      .filter(({ untilMs }) => nowMs < untilMs);
    return {
      leaving: this.#leaving.size,
      notBefore: waiting.length,
      limit: this.#limits.countLimits(),
    };
  }

  /** Counts a request that is sent to the target. */
  recordSend(target: string, nowMs: number): void {
    this.#limits.recordSend(target, nowMs);
    const waiting = this.#waiting.get(target);
    if (waiting !== undefined) waiting.trialSentAtMs = nowMs;
  }

  #recordLeaving(
    target: string,
    { isOwn, nowMs }: { readonly isOwn: boolean; readonly nowMs: number },
  ): readonly NoticeChange[] {
    if (this.#leaving.has(target)) return [];
    this.#leaving.set(target, { observedAtMs: nowMs, isOwn });
    return [{ kind: "leaving", target, isOwn }];
  }

  #recordNotBefore(
    { target, notices, sentAtMs }: {
      readonly target: string;
      readonly notices: TargetNotices;
      readonly sentAtMs: number;
    },
    nowMs: number,
  ): readonly NoticeChange[] {
    const { notBefore } = notices;
    if (notBefore === undefined || notBefore.forMs === 0) {
      this.#endTrial(target, sentAtMs);
      return [];
    }
    const { value } = notBefore;
    const rejected = { kind: "rejected" as const, target, value };
    if (notBefore.forMs === undefined) return [rejected];
    const forMs = Math.min(notBefore.forMs, MAX_NOT_BEFORE_MS);
    const known = this.#waiting.get(target);
    const untilMs = Math.max(nowMs + forMs, known?.untilMs ?? 0);
    this.#waiting.set(target, { untilMs, trialSentAtMs: undefined });
    return [
      ...(forMs < notBefore.forMs ? [rejected] : []),
      { kind: "notBefore", target, forMs },
    ];
  }

  /** Ends the wait for a target that has answered a trial request. */
  #endTrial(target: string, sentAtMs: number): void {
    const waiting = this.#waiting.get(target);
    if (waiting !== undefined && sentAtMs >= waiting.untilMs) {
      this.#waiting.delete(target);
    }
  }

  #readReturnMs(target: string, nowMs: number): number {
    const waiting = this.#waiting.get(target);
    if (waiting === undefined) return 0;
    const trialMs = this.#findTrialMs(target, waiting);
    if (nowMs < trialMs) return trialMs - nowMs;
    const { trialSentAtMs } = waiting;
    if (trialSentAtMs === undefined) return 0;
    const nextTrialMs = trialSentAtMs + TRIAL_TIMEOUT_MS;
    return Math.min(TRIAL_ANSWER_MS, Math.max(0, nextTrialMs - nowMs));
  }

  /** Time of the first trial request, at another moment on each entry. */
  #findTrialMs(target: string, { untilMs }: WaitingTarget): number {
    const { hash, entry } = this.#options;
    const spread = mixHashes(hash(entry), hash(target)) / HASH_RANGE;
    return untilMs + spread * TRIAL_SPREAD_MS;
  }
}
