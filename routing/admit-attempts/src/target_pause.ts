/**
 * Keeps the time before which the target wants no calls, as named in an answer
 * that turned a call away. After it, one trial call goes first, since the calls
 * that were refused meanwhile would overload the target again.
 */

/** A longer pause is cut to this, as it is probably a mistake. */
const MAX_PAUSE_MS = 600_000;
/** Time after which another trial call may run if one gets no answer. */
const TRIAL_TIMEOUT_MS = 1_000;

export class TargetPause {
  #endsAtMs = 0;
  #isTrialDue = false;
  #trial: { readonly attemptId: string; readonly endsAtMs: number } | undefined;

  private constructor() {}

  static create(): TargetPause {
    return new TargetPause();
  }

  /** Time until the next call may run; 0 if it may now. */
  readDelayMs(nowMs: number): number {
    return Math.max(
      0,
      Math.max(this.#endsAtMs, this.#trial?.endsAtMs ?? 0) - nowMs,
    );
  }

  /** Records a call that runs, which is only after the delay. */
  recordStart(attemptId: string, nowMs: number): void {
    const hasUnansweredTrial = this.#trial !== undefined;
    if (!this.#isTrialDue && !hasUnansweredTrial) return;
    this.#isTrialDue = false;
    this.#trial = { attemptId, endsAtMs: nowMs + TRIAL_TIMEOUT_MS };
  }

  /**
   * Records the head of an answer. A longer pause replaces a shorter one, and a
   * late answer to an earlier call ends none.
   */
  recordAnswer(
    { attemptId, pauseMs = 0 }: {
      readonly attemptId: string;
      readonly pauseMs?: number;
    },
    nowMs: number,
  ): void {
    if (pauseMs <= 0) return this.recordEnd(attemptId);
    const endsAtMs = nowMs + Math.min(pauseMs, MAX_PAUSE_MS);
    this.#endsAtMs = Math.max(this.#endsAtMs, endsAtMs);
    this.#isTrialDue = true;
    this.#trial = undefined;
  }

  /** Records the end of a call, with an answer or without. */
  recordEnd(attemptId: string): void {
    if (this.#trial?.attemptId === attemptId) this.#trial = undefined;
  }
}
