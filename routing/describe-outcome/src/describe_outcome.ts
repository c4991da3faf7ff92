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
  hint: "Retry after the time in Retry-After",
};
const UNKNOWN: Reason = {
  status: 502,
  message: "It is unknown whether the request ran",
  hint: "Do not repeat a request that must not run twice",
};
const FAILED: Reason = {
  status: 502,
  message: "The request ended without a complete answer",
  hint: "Repeat the request if it may run twice",
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
