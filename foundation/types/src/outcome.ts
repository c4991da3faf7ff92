/** How a request ended, as its caller is told. */

/** The closed set of outcomes. */
export type OutcomeKind = "answered" | "notRun" | "unknown" | "failed";

/** Why a request that was given up on certainly never ran. */
export type NotRunProof =
  | { readonly kind: "neverDispatched" }
  | { readonly kind: "refusedByAgent"; readonly attemptId: string };

/** The whole answer was passed on. */
export interface AnsweredOutcome {
  readonly kind: "answered";
  readonly lengthBytes: number;
}

/** The request never ran; it may be sent again after `retryAfterMs`. */
export interface NotRunOutcome {
  readonly kind: "notRun";
  readonly proof: NotRunProof;
  readonly code: string;
  readonly retryAfterMs: number;
}

/** The request may have run, and its answer is lost. */
export interface UnknownOutcome {
  readonly kind: "unknown";
  readonly code: string;
  /** When the same key may be sent again to learn how the request ended. */
  readonly retryAfterMs?: number;
}

/** The request ran and ended without a whole answer. */
export interface FailedOutcome {
  readonly kind: "failed";
  readonly code: string;
  readonly retryAfterMs?: number;
}

export type Outcome =
  | AnsweredOutcome
  | NotRunOutcome
  | UnknownOutcome
  | FailedOutcome;

/** The body of every answer that is not the target's own. */
export interface ErrorBody {
  readonly error: {
    readonly code: string;
    readonly message: string;
    readonly hint: string;
    readonly outcome: OutcomeKind;
    readonly requestId?: string;
    readonly retryAfterMs?: number;
  };
}
