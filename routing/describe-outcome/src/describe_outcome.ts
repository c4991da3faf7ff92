/** Maps an outcome to an HTTP status, an error body and a retry delay. */

import type { ErrorBody, Outcome } from "@dandelionbank/types";
import { toCallerCode, toReasonCode } from "./caller_code.ts";
import { findReason, type Reason } from "./reasons.ts";

export interface DescribedOutcome {
  readonly status: number;
  readonly body: ErrorBody;
  /** Whole seconds, rounded up, for the `Retry-After` header. */
  readonly retryAfterSeconds: number | undefined;
}

type UnansweredOutcome = Exclude<Outcome, { readonly kind: "answered" }>;

const NOT_RUN: Reason = {
  status: 503,
  message: "The request was refused before it ran",
  hint: "Come back after the time given",
};
const UNKNOWN: Reason = {
  status: 502,
  message: "Whether the request ran is unknown",
  hint: "Do not repeat a call that must not run twice",
};
const FAILED: Reason = {
  status: 502,
  message: "The request ended without a whole answer",
  hint: "Send the request again if it may run twice",
};

export function describeOutcome(
  outcome: UnansweredOutcome,
  requestId: string | undefined,
): DescribedOutcome {
  const reason = findReason(toReasonCode(outcome.code)) ??
    defaultReason(outcome.kind);
  const retryAfterMs = isFinal(reason.status)
    ? undefined
    : outcome.retryAfterMs;
  return {
    status: reason.status,
    retryAfterSeconds: retryAfterMs === undefined
      ? undefined
      : Math.ceil(retryAfterMs / 1000),
    body: {
      error: {
        code: toCallerCode(outcome.code),
        message: reason.message,
        hint: reason.hint,
        outcome: outcome.kind,
        ...(requestId === undefined ? {} : { requestId }),
        ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
      },
    },
  };
}

function defaultReason(kind: UnansweredOutcome["kind"]): Reason {
  if (kind === "notRun") return NOT_RUN;
  if (kind === "unknown") return UNKNOWN;
  return FAILED;
}

/** Returns whether repeating the same request cannot succeed. */
function isFinal(status: number): boolean {
  return status < 500 && status !== 429;
}
