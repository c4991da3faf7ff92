/**
 * Decides what happens after an attempt has ended: a retry at another target,
 * the resumption of a stream after the last event that the caller received, or
 * the final answer.
 *
 * A request that is not repeatable is retried only with proof that the previous
 * attempt did not run. The caller is told "not run" only if no attempt may have
 * run. A failure that the target itself answered is passed on unchanged.
 */

import type { RouteKind } from "@dandelionbank/types";

export type AttemptOutcome =
  /** No connection to the target was established. */
  | "notSent"
  /** The target proved that it did not run the request. */
  | "refused"
  /** The target ran the request and answered with an error. */
  | "failed"
  /** The answer was lost, truncated or not from the target: it may have run. */
  | "broken"
  /** Nothing was received within the attempt timeout: it may still be running. */
  | "silent";

export interface RequestProgress {
  readonly kind: RouteKind;
  readonly isResumable: boolean;
  readonly maxTargets: number;
  /** Number of targets that the request was sent to, including the last one. */
  readonly targetsSent: number;
  /** True if any attempt before the last one may have run. */
  readonly mayHaveRun: boolean;
  /** True once part of the answer has been sent to the caller. */
  readonly hasAnswerStarted: boolean;
  /** Time until the request's deadline. */
  readonly remainingMs: number;
}

export type NextAction =
  /** Sends the request to another target if the retry budget allows it. */
  | { readonly type: "retry" }
  | FinalAction;

/** An action that ends the request. */
export type FinalAction =
  /** Passes the target's error on to the caller. */
  | { readonly type: "passFailure" }
  /** Aborts the answer in progress, so that it does not look complete. */
  | { readonly type: "cut" }
  /** Answers that the request was not run. */
  | { readonly type: "refuse" }
  /** Answers that the request failed and may have run. */
  | { readonly type: "fail"; readonly status: 502 | 504 };

/** With less time than this left, another attempt could not succeed. */
const MIN_RETRY_TIME_MS = 30;

export function decideNextAction(
  progress: RequestProgress,
  outcome: AttemptOutcome,
): NextAction {
  return mayRetry(progress, outcome)
    ? { type: "retry" }
    : decideFinalAction(progress, outcome);
}

/** Decides how the request ends if there is no further attempt. */
export function decideFinalAction(
  progress: RequestProgress,
  outcome: AttemptOutcome,
): FinalAction {
  if (progress.hasAnswerStarted) return { type: "cut" };
  switch (outcome) {
    case "failed":
      return { type: "passFailure" };
    case "notSent":
    case "refused":
      return progress.mayHaveRun
        ? { type: "fail", status: 502 }
        : { type: "refuse" };
    case "broken":
      return { type: "fail", status: 502 };
    case "silent":
      return { type: "fail", status: 504 };
  }
}

/** Reports whether the request may run more than once. */
export function isRepeatable(
  { kind, isResumable }: Pick<RequestProgress, "kind" | "isResumable">,
): boolean {
  return kind === "idempotent" || isContinuable({ kind, isResumable });
}

/**
 * Reports whether another target can continue an answer that has begun. Any
 * other answer would be sent from its start, behind the part already sent.
 */
function isContinuable(
  { kind, isResumable }: Pick<RequestProgress, "kind" | "isResumable">,
): boolean {
  return kind === "stream" && isResumable;
}

function mayRetry(
  progress: RequestProgress,
  outcome: AttemptOutcome,
): boolean {
  if (progress.remainingMs < MIN_RETRY_TIME_MS) return false;
  if (progress.hasAnswerStarted && !isContinuable(progress)) return false;
  if (outcome === "notSent") return true;
  if (progress.targetsSent >= progress.maxTargets) return false;
  return outcome === "refused" || isRepeatable(progress);
}
