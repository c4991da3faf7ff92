/** Errors of failed calls to the platform. */

import { createError, type DandelionError } from "@dandelionbank/error";

export const UNREACHABLE_CODE = "DANDELIONBANK_PLATFORM_UNREACHABLE";
export const UNSETTLED_CODE = "DANDELIONBANK_WRITE_UNSETTLED";
export const RATE_LIMITED_CODE = "DANDELIONBANK_PLATFORM_RATE_LIMITED";
export const REFUSED_CODE = "DANDELIONBANK_PLATFORM_REFUSED";

export interface FailedCall {
  /** What was attempted, such as `read config/config`. */
  readonly step: string;
  readonly peer: string;
  readonly cause?: unknown;
}

export function createUnreachableError(call: FailedCall): DandelionError {
  return createError(`Cannot ${call.step}`, {
    ...call,
    code: UNREACHABLE_CODE,
    hint: "Check that the platform is up and --platform-url names it",
  });
}

export function createUnsettledError(call: FailedCall): DandelionError {
  return createError(`Cannot tell whether it took effect: ${call.step}`, {
    ...call,
    code: UNSETTLED_CODE,
    hint: "Read the object; write again on the revision that you read",
  });
}

export function createRateLimitedError(call: FailedCall): DandelionError {
  return createError(`The platform's rate is used up: ${call.step}`, {
    ...call,
    code: RATE_LIMITED_CODE,
    hint: "Nothing took effect; try again later",
  });
}

export function createRefusedError(
  call: FailedCall,
  status: number,
): DandelionError {
  return createError(`The platform refused with ${status}: ${call.step}`, {
    ...call,
    code: REFUSED_CODE,
    hint: selectHint(status),
  });
}

function selectHint(status: number): string {
  if (status === 413) return "Keep the value under 1 MB";
  if (status === 401 || status === 403) return "Check --platform-token";
  return "Nothing took effect; check the object's kind, name and value";
}
