/**
 * Decides what follows when an attempt has ended: another target, a resumption
 * after the last event that the caller has, or the final answer.
 *
 * A request that may not be repeated is sent again only after proof that it has
 * not run. An answer that says "not run" is given only if no attempt may have
 * run, and the failure of a target goes back as it was.
 */

import type { RouteKind } from "@dandelionbank/types";

export type AttemptOutcome =
  /** No connection was made. */
  | "notSent"
  /** The target proved that it did not run the request. */
  | "refused"
  /** The target ran the request and answered with a failure of its own. */
  | "failed"
  /** The answer was lost, cut or not the target's: it may have run. */
  | "broken"
  /** No sign of an answer within the time for one attempt: it may be running. */
  | "silent";

export interface RequestProgress {
  readonly kind: RouteKind;
  readonly isResumable: boolean;
  readonly maxTargets: number;
  /** Targets that the request has been sent to, the last one included. */
  readonly targetsSent: number;
  /** True if some attempt before the last one may have run. */
  readonly mayHaveRun: boolean;
  /** True once the caller has part of the answer. */
  readonly hasAnswerStarted: boolean;
  readonly remainingMs: number;
}

export type NextAction =
  /** Sends the request to another target, if the budget allows. */
  | { readonly type: "retry" }
  | FinalAction;

/** What ends a request. */
export type FinalAction =
  /** Hands on the target's own failure. */
  | { readonly type: "passFailure" }
  /** Ends the answer that has begun, so that it does not look whole. */
  | { readonly type: "cut" }
  | { readonly type: "refuse" }
  | { readonly type: "fail"; readonly status: 502 | 504 };

/** A shorter rest of time serves no second attempt. */
const MIN_RETRY_MS = 30;

export function decideNextAction(
  progress: RequestProgress,
  outcome: AttemptOutcome,
): NextAction {
  return mayTryAgain(progress, outcome)
    ? { type: "retry" }
    : decideFinalAction(progress, outcome);
}

/** What ends the request when no further attempt is made. */
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

/** Whether the request may run more than once. */
export function isRepeatable(
  { kind, isResumable }: Pick<RequestProgress, "kind" | "isResumable">,
): boolean {
  return kind === "idempotent" || (kind === "stream" && isResumable);
}

function mayTryAgain(
  progress: RequestProgress,
  outcome: AttemptOutcome,
): boolean {
  if (progress.remainingMs < MIN_RETRY_MS) return false;
  if (outcome === "notSent") return true;
  if (progress.targetsSent >= progress.maxTargets) return false;
  return outcome === "refused" || isRepeatable(progress);
}
