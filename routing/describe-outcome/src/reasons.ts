/**
 * Every code that a caller may receive, with its message and hint. Codes and texts
 * are part of the interface to callers and stay the same across versions.
 */

import type { UnansweredCode } from "@dandelionbank/track-requests";

export interface Reason {
  /** HTTP status. */
  readonly status: number;
  readonly message: string;
  readonly hint: string;
}

/** Why a request was rejected before anything was dispatched. */
export type RejectionCode =
  | "credentialMissing"
  | "credentialUnknown"
  | "routeUnknown"
  | "methodNotAllowed"
  | "poolUnknown"
  | "modelUnknown"
  | "bodyTooLarge"
  | "bodyNotJson"
  | "bodyInvalid"
  | "keyInvalid"
  | "notReady"
  | "stopping";

export type ReasonCode = RejectionCode | UnansweredCode;

export const REASONS: Readonly<Record<ReasonCode, Reason>> = {
  credentialMissing: {
    status: 401,
    message: "No credential was given",
    hint: "Send the organisation's key as Authorization: Bearer KEY",
  },
  credentialUnknown: {
    status: 401,
    message: "The credential belongs to no contract",
    hint: "Check the key, or ask the operator for the contract",
  },
  routeUnknown: {
    status: 404,
    message: "There is no such route",
    hint: "Use /v1/addresses, /v1/completions or /services/POOL/PATH",
  },
  methodNotAllowed: {
    status: 405,
    message: "The route does not take this method",
    hint: "Use GET for /v1/addresses and POST for /v1/completions",
  },
  poolUnknown: {
    status: 404,
    message: "There is no such pool of plain services",
    hint: "Check the pool's name with the operator",
  },
  modelUnknown: {
    status: 404,
    message: "No pool serves this model",
    hint: "Check the model's name with the operator",
  },
  bodyTooLarge: {
    status: 413,
    message: "The body is larger than allowed",
    hint: "Shorten the body, or ask the operator for the limit",
  },
  bodyNotJson: {
    status: 400,
    message: "The body is not JSON",
    hint: "Send a JSON object with content type application/json",
  },
  bodyInvalid: {
    status: 400,
    message: "The body lacks a field or has a wrong one",
    hint: "Send model and prompt as text, max_tokens as a positive number",
  },
  keyInvalid: {
    status: 400,
    message: "The idempotency key is not made under a ticket",
    hint: "Take a ticket from /v1/addresses and send TICKET/SUFFIX",
  },
  notReady: {
    status: 503,
    message: "This entry does not take requests yet",
    hint: "Use another address, or come back after the time given",
  },
  stopping: {
    status: 503,
    message: "This entry is stopping",
    hint: "Use another address",
  },
  organisationUnknown: {
    status: 401,
    message: "The organisation has no contract any longer",
    hint: "Ask the operator for the contract",
  },
  rateLimited: {
    status: 429,
    message: "The contract's request rate is used up",
    hint: "Come back after the time given",
  },
  concurrencyLimited: {
    status: 429,
    message: "The contract's concurrent requests are used up",
    hint: "Come back after the time given",
  },
  tokensLimited: {
    status: 429,
    message: "The contract's tokens are used up",
    hint: "Come back after the time given",
  },
  overloaded: {
    status: 503,
    message: "No target can take the request in time",
    hint: "Come back after the time given",
  },
  answerCut: {
    status: 502,
    message: "The answer broke off and could not be continued",
    hint: "Send the request again if it may run twice",
  },
  answerDiffers: {
    status: 502,
    message: "The answer was started again and differs from what was sent",
    hint: "Send the request again if it may run twice",
  },
  answerNotKept: {
    status: 502,
    message: "The request ran and its answer is no longer kept",
    hint: "Do not repeat a call that must not run twice",
  },
  arbiterUnsure: {
    status: 502,
    message: "This entry cannot be sure that no other answers for the key",
    hint: "Send the same key again to learn how it ended",
  },
  attemptLost: {
    status: 502,
    message: "The request may have run and its answer is lost",
    hint: "Do not repeat a call that must not run twice",
  },
  deadlineExceeded: {
    status: 504,
    message: "The request's time ran out",
    hint: "Send the same idempotency key again to learn how it ended",
  },
  homeUnreachable: {
    status: 502,
    message: "The entry that knows the key cannot be reached",
    hint: "Send the same key again after the time given",
  },
  invariantViolated: {
    status: 500,
    message: "An internal check failed and the request was refused",
    hint: "Tell the operator the request id",
  },
  keyReused: {
    status: 409,
    message: "The idempotency key was used with another body",
    hint: "Make a new key for a new request",
  },
  noTarget: {
    status: 503,
    message: "The pool has no target that takes new work",
    hint: "Come back after the time given",
  },
  quarantined: {
    status: 422,
    message: "The request is quarantined because targets were lost running it",
    hint: "Do not send this request again; tell the operator",
  },
  tableFull: {
    status: 503,
    message: "No room is left to remember the request's key",
    hint: "Come back after the time given",
  },
  targetFailed: {
    status: 502,
    message: "The target ended the request without a whole answer",
    hint: "Send the request again if it may run twice",
  },
  ticketExpired: {
    status: 409,
    message: "The ticket of the idempotency key has expired",
    hint: "Take a new ticket; an earlier request under this key may have run",
  },
};

export function findReason(code: string): Reason | undefined {
  return Object.hasOwn(REASONS, code) ? REASONS[code as ReasonCode] : undefined;
}
