/** Tells what the failure of one call means: final, or worth another entry. */

import type { CallErrorShape } from "@dandelionbank/operator-api";
import { TRPCClientError } from "@trpc/client";
import { ToolFailure } from "./tool_failure.ts";

/** Causes by which a call certainly did not reach the entry. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EAI_AGAIN",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Statuses after which another entry may do better. */
const RETRIED_STATUSES: ReadonlySet<number> = new Set([429, 500, 503, 504]);

/** The answer would be the same from any entry. */
export interface NonRetryableFailure {
  readonly isFinal: true;
  readonly refusal: ToolFailure;
}

/** Another entry may do better. */
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
  if (answer === undefined) return readTransportFailure(error, url);
  if (!RETRIED_STATUSES.has(answer.httpStatus)) {
    return { isFinal: true, refusal: refuse(answer, url) };
  }
  const { message, outcome } = answer.error;
  const mayHaveRun = outcome !== "notRun";
  return { isFinal: false, url, reason: message, mayHaveRun };
}

type ErrorAnswer = CallErrorShape["data"];

/** Another server on that address may answer anything. */
function readAnswer(shape: unknown): ErrorAnswer | undefined {
  const data = (shape as Partial<CallErrorShape> | undefined)?.data;
  return data?.error === undefined ? undefined : data;
}

function readTransportFailure(
  error: TRPCClientError<never>,
  url: string,
): CallFailure {
  const codes = listCauses(error).map(nameCause);
  const reason = codes.at(-1) ?? error.message;
  const isNotSent = codes.some((code) => NOT_SENT_CODES.has(code));
  return { isFinal: false, url, reason, mayHaveRun: !isNotSent };
}

/** The chain of causes; of several addresses that failed, the first stands for all. */
function listCauses(error: Error): readonly NodeJS.ErrnoException[] {
  const { cause } = error;
  if (!(cause instanceof Error)) return [];
  return [cause, ...listCauses(cause)];
}

/** A timeout's own code is a number, which tells nobody anything. */
function nameCause({ code, message }: NodeJS.ErrnoException): string {
  return typeof code === "string" ? code : message;
}

function refuse({ error }: ErrorAnswer, url: string): ToolFailure {
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
