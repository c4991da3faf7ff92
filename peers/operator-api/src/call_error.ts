/** Errors of operators' calls, and the body in which they are answered. */

import { DandelionError } from "@dandelionbank/error";
import { formatIssues } from "@dandelionbank/schemas";
import type { ErrorBody } from "@dandelionbank/types";
import { TRPCError } from "@trpc/server";
import type * as v from "valibot";

/** The product's own part of an error's answer. */
export type CallError = ErrorBody["error"] & {
  /** Each problem of a value or input that was refused. */
  readonly problems?: readonly string[];
};

type TrpcCode = TRPCError["code"];

/** tRPC's form of an error, with ours beside its data. */
export interface CallErrorShape {
  readonly code: number;
  readonly message: string;
  readonly data: {
    readonly code: TrpcCode;
    readonly httpStatus: number;
    readonly error: CallError;
  };
}

/** Carries the body of an answer through tRPC. */
class CallFailure extends Error {
  readonly body: CallError;

  constructor(body: CallError) {
    super(body.message);
    this.body = body;
  }
}

/** An error that tRPC answers with the given body. */
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

/** Answers a failure of the platform's store as what it means to the operator. */
export function translateStoreError(error: unknown): unknown {
  if (!(error instanceof DandelionError)) return error;
  const { code, message, hint } = error;
  const failure = STORE_FAILURES[code];
  if (failure === undefined) return error;
  const { outcome } = failure;
  return createCallError(failure.code, { code, message, hint, outcome });
}

/** The body of any error, also of those that tRPC raises itself. */
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

/** A write may have taken effect before an unexpected error. */
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
