/** Outcomes of requests, as reported to callers. */

/** The kind of an outcome. Every request ends in exactly one of them. */
export type OutcomeKind = "answered" | "notRun" | "unknown" | "failed";

/** Proof that a request that was not answered never ran. */
export type NotRunProof =
  | { readonly kind: "neverDispatched" }
  | { readonly kind: "refusedByAgent"; readonly attemptId: string };

/** The complete answer was forwarded to the caller. */
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

/** The request may have run, and its answer was lost. */
export interface UnknownOutcome {
  readonly kind: "unknown";
  readonly code: string;
  /** Delay after which the caller may resend the same key to learn the outcome. */
  readonly retryAfterMs?: number;
}

/** The request ran and ended without a complete answer. */
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

/** The body of every error response that dandelionbank itself produces. */
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
