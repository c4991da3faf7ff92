/** Decides whether a failed call to one entry should be retried with another. */

import type { CallErrorShape } from "@dandelionbank/operator-api";
import { TRPCClientError } from "@trpc/client";
import { ToolFailure } from "./tool_failure.ts";

/** Error codes that prove that a call did not reach the entry. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EAI_AGAIN",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Statuses after which a call is retried with another entry. */
const RETRYABLE_STATUSES: ReadonlySet<number> = new Set([429, 500, 503, 504]);

/** A refusal that would be the same from any entry. */
export interface NonRetryableFailure {
  readonly isFinal: true;
  readonly refusal: ToolFailure;
}

/** A failure after which another entry may succeed. */
export interface RetryableFailure {
  readonly isFinal: false;
  readonly url: string;
  readonly reason: string;
  /** Whether the call may have taken effect. */
  readonly mayHaveRun: boolean;
}

export type CallFailure = NonRetryableFailure | RetryableFailure;

export function classifyFailure(error: unknown, url: string): CallFailure {
  if (!(error instanceof TRPCClientError)) throw error;
  const answer = readAnswer(error.shape);
  if (answer === undefined) return classifyTransportFailure(error, url);
  if (!RETRYABLE_STATUSES.has(answer.httpStatus)) {
    return { isFinal: true, refusal: toRefusal(answer, url) };
  }
  const { message, outcome } = answer.error;
  const mayHaveRun = outcome !== "notRun";
  return { isFinal: false, url, reason: message, mayHaveRun };
}

type ErrorAnswer = CallErrorShape["data"];

/**
 * Returns undefined if the answer is not one of an entry, since another server
 * may listen at that address.
 */
function readAnswer(shape: unknown): ErrorAnswer | undefined {
  const data = (shape as Partial<CallErrorShape> | undefined)?.data;
  return data?.error === undefined ? undefined : data;
}

function classifyTransportFailure(
  error: TRPCClientError<never>,
  url: string,
): CallFailure {
  const codes = listCauses(error).map(describeCause);
  const reason = codes.at(-1) ?? error.message;
  const isNotSent = codes.some((code) => NOT_SENT_CODES.has(code));
  return { isFinal: false, url, reason, mayHaveRun: !isNotSent };
}

/**
 * Lists the chain of causes of an error, from the outermost to the innermost. If
 * several addresses of a host failed, the error has the code of the first.
 */
function listCauses(error: Error): readonly NodeJS.ErrnoException[] {
  const { cause } = error;
  if (!(cause instanceof Error)) return [];
  return [cause, ...listCauses(cause)];
}

/** Returns the code of a cause, or its message: the code of a timeout is a number. */
function describeCause({ code, message }: NodeJS.ErrnoException): string {
  return typeof code === "string" ? code : message;
}

function toRefusal({ error }: ErrorAnswer, url: string): ToolFailure {
  const { code, message, hint, problems = [] } = error;
  return new ToolFailure("refused", {
    lines: [
      `${url} refused: ${message} (${code})`,
      ...problems.map((problem) => `  ${problem}`),
      hint,
    ],
    details: { error },
  });
}
