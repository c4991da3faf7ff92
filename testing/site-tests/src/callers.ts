/** Calls of the tests' callers, and checks of their answers. */

import {
  callEntry,
  type CallerReply,
  type CallerRequest,
} from "@dandelionbank/run-site";
import { expectedTokens } from "@dandelionbank/standin-engine";
import type { ErrorBody } from "@dandelionbank/types";
import assert from "node:assert/strict";

const RETRY_LIMIT_MS = 15_000;
const MIN_RETRY_DELAY_MS = 50;

export interface CompletionRequest {
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
}

export function createCompletionCall(
  key: string,
  request: CompletionRequest,
): CallerRequest {
  const { prompt, maxTokens, stream } = request;
  const body = JSON.stringify({
    model: "plaque-7b",
    prompt,
    max_tokens: maxTokens,
    stream,
  });
  return { key, path: "/v1/completions", body };
}

/** Asserts that the answer is complete and has exactly the expected text. */
export function assertCompletion(
  reply: CallerReply,
  request: CompletionRequest,
): void {
  assert.equal(reply.status, 200, reply.body);
  assert.ok(reply.isComplete, "The body is truncated");
  const tokens = expectedTokens(request.prompt, request.maxTokens);
  if (!request.stream) {
    return assert.equal(parseChoiceText(reply.body), tokens.join(""));
  }
  const events = reply.body.split("\n\n");
  assert.deepEqual(events.slice(-2), ["data: [DONE]", ""]);
  const texts = events.slice(0, -2).map((event) =>
    parseChoiceText(event.slice("data: ".length))
  );
  assert.deepEqual(texts, tokens);
}

function parseChoiceText(json: string): string {
  const answer = JSON.parse(json) as {
    readonly choices: readonly { readonly text: string }[];
  };
  return answer.choices[0]?.text ?? "";
}

/** Parses the error body of an answer that does not come from the target. */
export function readError(reply: CallerReply): ErrorBody["error"] | undefined {
  try {
    return (JSON.parse(reply.body) as Partial<ErrorBody>).error;
  } catch {
    return undefined;
  }
}

/** Repeats the call while the answer states that it was not run. */
export async function retryWhileNotRun(
  entryUrl: string,
  call: CallerRequest,
): Promise<CallerReply> {
  const deadlineMs = performance.now() + RETRY_LIMIT_MS;
  while (true) {
    const reply = await callEntry(entryUrl, call);
    const error = reply.status === 200 ? undefined : readError(reply);
    if (error?.outcome !== "notRun" || performance.now() > deadlineMs) {
      return reply;
    }
    const waitMs = Math.max(MIN_RETRY_DELAY_MS, error.retryAfterMs ?? 0);
    await new Promise((resolve) => setTimeout(resolve, waitMs));
  }
}

/** Returns how often the stand-in ran calls with this key. */
export async function countExecutions(
  standinUrl: string,
  key: string,
): Promise<number> {
  const executions = await readExecutions(standinUrl);
  return executions.find((execution) => execution.key === key)?.count ?? 0;
}

/** Returns how many calls the stand-in ran in total. */
export async function countAllExecutions(standinUrl: string): Promise<number> {
  const executions = await readExecutions(standinUrl);
  return executions.reduce((sum, { count }) => sum + count, 0);
}

interface KeyExecutions {
  readonly key: string;
  readonly count: number;
}

async function readExecutions(
  standinUrl: string,
): Promise<readonly KeyExecutions[]> {
  const call = { key: "none", path: "/executions" };
  const { body } = await callEntry(standinUrl, call);
  const { executions } = JSON.parse(body) as {
    readonly executions: readonly KeyExecutions[];
  };
  return executions;
}
