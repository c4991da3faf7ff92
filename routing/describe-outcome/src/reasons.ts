/** Every code that a caller may meet. A code is stable across versions. */

export interface Reason {
  /** HTTP status. */
  readonly status: number;
  readonly message: string;
  readonly hint: string;
}

export const REASONS: Readonly<Record<string, Reason>> = {
  CREDENTIAL_MISSING: {
    status: 401,
    message: "No credential was given",
    hint: "Send the organisation's key as Authorization: Bearer KEY",
  },
  ORGANISATION_UNKNOWN: {
    status: 401,
    message: "The organisation has no contract any longer",
    hint: "Ask the operator for the contract",
  },
  CREDENTIAL_UNKNOWN: {
    status: 401,
    message: "The credential belongs to no contract",
    hint: "Check the key, or ask the operator for the contract",
  },
  ROUTE_UNKNOWN: {
    status: 404,
    message: "There is no such route",
    hint: "Use /v1/addresses, /v1/completions or /services/POOL/PATH",
  },
  METHOD_NOT_ALLOWED: {
    status: 405,
    message: "The route does not take this method",
    hint: "Use GET for /v1/addresses and POST for /v1/completions",
  },
  POOL_UNKNOWN: {
    status: 404,
    message: "There is no such pool of plain services",
    hint: "Check the pool's name with the operator",
  },
  MODEL_UNKNOWN: {
    status: 404,
    message: "No pool serves this model",
    hint: "Check the model's name with the operator",
  },
  BODY_TOO_LARGE: {
    status: 413,
    message: "The body is larger than allowed",
    hint: "Shorten the body, or ask the operator for the limit",
  },
  BODY_NOT_JSON: {
    status: 400,
    message: "The body is not JSON",
    hint: "Send a JSON object with content type application/json",
  },
  BODY_INVALID: {
    status: 400,
    message: "The body lacks a field or has a wrong one",
    hint: "Send model and prompt as text, max_tokens as a positive number",
  },
  KEY_INVALID: {
    status: 400,
    message: "The idempotency key is not made under a ticket",
    hint: "Take a ticket from /v1/addresses and send TICKET/SUFFIX",
  },
  KEY_REUSED: {
    status: 409,
    message: "The idempotency key was used with another body",
    hint: "Make a new key for a new request",
  },
  TICKET_EXPIRED: {
    status: 409,
    message: "The ticket of the idempotency key has expired",
    hint: "Take a new ticket; an earlier request under this key may have run",
  },
  NOT_READY: {
    status: 503,
    message: "This entry does not take requests yet",
    hint: "Use another address, or come back after the time given",
  },
  STOPPING: {
    status: 503,
    message: "This entry is stopping",
    hint: "Use another address",
  },
  RATE_LIMITED: {
    status: 429,
    message: "The contract's request rate is used up",
    hint: "Come back after the time given",
  },
  CONCURRENCY_LIMITED: {
    status: 429,
    message: "The contract's concurrent requests are used up",
    hint: "Come back after the time given",
  },
  TOKENS_LIMITED: {
    status: 429,
    message: "The contract's tokens are used up",
    hint: "Come back after the time given",
  },
  OVERLOADED: {
    status: 503,
    message: "No target can take the request in time",
    hint: "Come back after the time given",
  },
  NO_TARGET: {
    status: 503,
    message: "The pool has no target that takes new work",
    hint: "Come back after the time given",
  },
  TABLE_FULL: {
    status: 503,
    message: "There is no room for one more idempotency key",
    hint: "Come back after the time given",
  },
  QUARANTINED: {
    status: 422,
    message: "The request is quarantined because targets were lost running it",
    hint: "Do not send this request again; tell the operator",
  },
  DEADLINE_EXCEEDED: {
    status: 504,
    message: "The request's time ran out",
    hint: "Send the same idempotency key again to learn how it ended",
  },
  ATTEMPT_LOST: {
    status: 502,
    message: "The request may have run and its answer is lost",
    hint: "Do not repeat a call that must not run twice",
  },
  HOME_UNREACHABLE: {
    status: 502,
    message: "The entry that knows the key cannot be reached",
    hint: "Send the same key again after the time given",
  },
  TARGET_FAILED: {
    status: 502,
    message: "The target ended the request without a whole answer",
    hint: "Send the request again if it may run twice",
  },
  ANSWER_CUT: {
    status: 502,
    message: "Part of the answer came and the rest cannot be had",
    hint: "Send the request again if it may run twice",
  },
  ANSWER_DIFFERS: {
    status: 502,
    message: "A second attempt did not repeat what had been sent",
    hint: "Send the request again if it may run twice",
  },
  ANSWER_NOT_KEPT: {
    status: 502,
    message: "The request was answered before and the answer is not kept",
    hint: "Send the request under a new key if it may run twice",
  },
  ARBITER_UNSURE: {
    status: 503,
    message: "The entry cannot show that it alone answers for the key",
    hint: "Send the same key again later",
  },
  INVARIANT_VIOLATED: {
    status: 500,
    message: "The system found itself wrong and refused",
    hint: "Tell the operator the request's id",
  },
};
