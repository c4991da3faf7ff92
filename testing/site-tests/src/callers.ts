/** Callers that know what a completion must hold, and how to come back. */

import {
  callEntry,
  type CallerReply,
  type CallerRequest,
} from "@dandelionbank/run-site";
import { expectedTokens } from "@dandelionbank/standin-engine";
import type { ErrorBody } from "@dandelionbank/types";
import assert from "node:assert/strict";

const SETTLE_LIMIT_MS = 15_000;
const LEAST_WAIT_MS = 50;

export interface CompletionWish {
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
}

export function completionCall(
  key: string,
  wish: CompletionWish,
): CallerRequest {
  const { prompt, maxTokens, stream } = wish;
  const body = JSON.stringify({
    model: "plaque-7b",
    prompt,
    max_tokens: maxTokens,
    stream,
  });
  return { key, path: "/v1/completions", body };
}

/** The answer is whole, and its text is the wish's to the byte. */
export function assertCompletion(
  reply: CallerReply,
  wish: CompletionWish,
): void {
  assert.equal(reply.status, 200, reply.body);
  assert.ok(reply.isComplete, "The body was cut");
  const tokens = expectedTokens(wish.prompt, wish.maxTokens);
  if (!wish.stream) {
    return assert.equal(choiceText(reply.body), tokens.join(""));
  }
  const events = reply.body.split("\n\n");
  assert.deepEqual(events.slice(-2), ["data: [DONE]", ""]);
  const texts = events.slice(0, -2).map((event) =>
    choiceText(event.slice("data: ".length))
  );
  assert.deepEqual(texts, tokens);
}

function choiceText(json: string): string {
  const answer = JSON.parse(json) as {
    readonly choices: readonly { readonly text: string }[];
  };
  return answer.choices[0]?.text ?? "";
}

/** The body of an answer that is not the target's own. */
export function readError(reply: CallerReply): ErrorBody["error"] | undefined {
  try {
    return (JSON.parse(reply.body) as Partial<ErrorBody>).error;
  } catch {
    return undefined;
  }
}

/** Sends the call again for as long as the answer says that it did not run. */
export async function sendUntilSettled(
  entryUrl: string,
  call: CallerRequest,
): Promise<CallerReply> {
  const deadlineMs = performance.now() + SETTLE_LIMIT_MS;
  while (true) {
    const reply = await callEntry(entryUrl, call);
    const error = reply.status === 200 ? undefined : readError(reply);
    if (error?.outcome !== "notRun" || performance.now() > deadlineMs) {
      return reply;
    }
    const waitMs = Math.max(LEAST_WAIT_MS, error.retryAfterMs ?? 0);
    await new Promise((resolve) => setTimeout(resolve, waitMs));
  }
}

/** How often the stand-in ran the calls with this key. */
export async function countExecutions(
  standinUrl: string,
  key: string,
): Promise<number> {
  const executions = await readExecutions(standinUrl);
  return executions.find((each) => each.key === key)?.count ?? 0;
}

/** How many calls the stand-in ran, whatever their keys. */
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
