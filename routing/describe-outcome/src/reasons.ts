/** Every code that a caller may receive. Codes are stable across versions. */

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
    message: "The credential does not belong to any contract",
    hint: "Check the key, or ask the operator for the contract",
  },
  routeUnknown: {
    status: 404,
    message: "There is no such route",
    hint: "Use /v1/addresses, /v1/completions or /services/POOL/PATH",
  },
  methodNotAllowed: {
    status: 405,
    message: "The route does not support this method",
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
    message: "The body has a missing or invalid field",
    hint: "Send model and prompt as text, max_tokens as a positive number",
  },
  keyInvalid: {
    status: 400,
    message: "The idempotency key is not based on a valid ticket",
    hint: "Get a ticket from /v1/addresses and send TICKET/SUFFIX",
  },
  notReady: {
    status: 503,
    message: "This entry does not accept requests yet",
    hint: "Use another address, or retry after the time in Retry-After",
  },
  stopping: {
    status: 503,
    message: "This entry is stopping",
    hint: "Use another address",
  },
  organisationUnknown: {
    status: 401,
    message: "The organisation no longer has a contract",
    hint: "Ask the operator for the contract",
  },
  rateLimited: {
    status: 429,
    message: "The contract's request rate is exceeded",
    hint: "Retry after the time in Retry-After",
  },
  concurrencyLimited: {
    status: 429,
    message: "The contract's limit of concurrent requests is reached",
    hint: "Retry after the time in Retry-After",
  },
  tokensLimited: {
    status: 429,
    message: "The contract's token rate is exceeded",
    hint: "Retry after the time in Retry-After",
  },
  overloaded: {
    status: 503,
    message: "No target can take the request in time",
    hint: "Retry after the time in Retry-After",
  },
  answerCut: {
    status: 502,
    message: "The answer was interrupted and could not be continued",
    hint: "Repeat the request if it may run twice",
  },
  answerDiffers: {
    status: 502,
    message: "The restarted answer differs from what was already sent",
    hint: "Repeat the request if it may run twice",
  },
  answerNotKept: {
    status: 502,
    message: "The request ran, but its answer is no longer available",
    hint: "Do not repeat a request that must not run twice",
  },
  arbiterUnsure: {
    status: 502,
    message: "This entry may no longer be the one that owns the key",
    hint: "Send the same key again to get the outcome",
  },
  attemptLost: {
    status: 502,
    message: "The request may have run, but its answer is lost",
    hint: "Do not repeat a request that must not run twice",
  },
  deadlineExceeded: {
    status: 504,
    message: "The request's deadline passed",
    hint: "Send the same idempotency key again to get the outcome",
  },
  homeUnreachable: {
    status: 502,
    message: "The entry that owns the key is unreachable",
    hint: "Send the same key again after the time in Retry-After",
  },
  invariantViolated: {
    status: 500,
    message: "An internal check failed and the request was refused",
    hint: "Report the request id to the operator",
  },
  keyReused: {
    status: 409,
    message: "The idempotency key was already used for another request",
    hint: "Use a new key for a new request",
  },
  noTarget: {
    status: 503,
    message: "The pool has no target that accepts new requests",
    hint: "Retry after the time in Retry-After",
  },
  quarantined: {
    status: 422,
    message:
      "The request is quarantined because targets crashed while running it",
    hint: "Do not repeat this request; report it to the operator",
  },
  tableFull: {
    status: 503,
    message: "The table of request keys is full",
    hint: "Retry after the time in Retry-After",
  },
  targetFailed: {
    status: 502,
    message: "The target failed without a complete answer",
    hint: "Repeat the request if it may run twice",
  },
  ticketExpired: {
    status: 409,
    message: "The ticket of the idempotency key has expired",
    hint: "Get a new ticket; an earlier request under this key may have run",
  },
};

export function findReason(code: string): Reason | undefined {
  return Object.hasOwn(REASONS, code) ? REASONS[code as ReasonCode] : undefined;
}
