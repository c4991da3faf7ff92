/**
 * Errors of operator calls, and the body in which they are returned. Codes,
 * messages and hints are part of the interface to operators.
 */

import { DandelionError } from "@dandelionbank/error";
import { formatIssues } from "@dandelionbank/schemas";
import type { ErrorBody } from "@dandelionbank/types";
import { TRPCError } from "@trpc/server";
import type * as v from "valibot";

/** The product's own part of an error response. */
export type CallError = ErrorBody["error"] & {
  /** All problems of a rejected value or input. */
  readonly problems?: readonly string[];
};

type TrpcCode = TRPCError["code"];

/** Error in the shape of tRPC, extended by `data.error`. */
export interface CallErrorShape {
  readonly code: number;
  readonly message: string;
  readonly data: {
    readonly code: TrpcCode;
    readonly httpStatus: number;
    readonly error: CallError;
  };
}

/** Cause of a `TRPCError` that carries the response body through tRPC. */
class CallFailure extends Error {
  readonly body: CallError;

  constructor(body: CallError) {
    super(body.message);
    this.body = body;
  }
}

/** Creates an error that is answered with the given body. */
export function createCallError(code: TrpcCode, body: CallError): TRPCError {
  const cause = new CallFailure(body);
  return new TRPCError({ code, message: body.message, cause });
}

interface StoreFailure {
  readonly code: TrpcCode;
  readonly outcome: CallError["outcome"];
}

const STORE_FAILURES: Readonly<Record<string, StoreFailure>> = {
  DANDELIONBANK_PLATFORM_UNREACHABLE: {
    code: "SERVICE_UNAVAILABLE",
    outcome: "notRun",
  },
  DANDELIONBANK_PLATFORM_RATE_LIMITED: {
    code: "TOO_MANY_REQUESTS",
    outcome: "notRun",
  },
  DANDELIONBANK_WRITE_UNSETTLED: {
    code: "GATEWAY_TIMEOUT",
    outcome: "unknown",
  },
};

/** Converts an error of the platform's store to one for the operator's call. */
export function translateStoreError(error: unknown): unknown {
  if (!(error instanceof DandelionError)) return error;
  const { code, message, hint } = error;
  const failure = STORE_FAILURES[code];
  if (failure === undefined) return error;
  const { outcome } = failure;
  return createCallError(failure.code, { code, message, hint, outcome });
}

/** Creates the response body of any error, including those that tRPC throws. */
export function describeError(error: TRPCError): CallError {
  if (error.cause instanceof CallFailure) return error.cause.body;
  if (isRejectedInput(error.cause)) return describeInput(error.cause.issues);
  if (error.code === "INTERNAL_SERVER_ERROR") return INTERNAL_ERROR;
  return {
    code: `DANDELIONBANK_${error.code}`,
    message: error.message,
    hint: "See docs/OPERATIONS.md for the operators' interface",
    outcome: "notRun",
  };
}

/** The outcome is unknown: a write may have taken effect before the error. */
const INTERNAL_ERROR: CallError = {
  code: "DANDELIONBANK_INTERNAL_ERROR",
  message: "The entry failed on this call",
  hint: "Look at the entry's log, and read the object before trying again",
  outcome: "unknown",
};

interface RejectedInput {
  readonly issues: readonly v.BaseIssue<unknown>[];
}

function isRejectedInput(cause: unknown): cause is RejectedInput {
  return cause instanceof Error && "issues" in cause &&
    Array.isArray(cause.issues);
}

function describeInput(issues: RejectedInput["issues"]): CallError {
  return {
    code: "DANDELIONBANK_WRONG_INPUT",
    message: "The call's input is wrong",
    hint: "Mend each of the problems and call again",
    outcome: "notRun",
    problems: formatIssues(issues, { root: "input" }),
  };
}
