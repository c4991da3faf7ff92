import type { CallerHead } from "@dandelionbank/platform-adapter";
import type { EngineProfile, Route } from "@dandelionbank/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { estimateLongestRunMs } from "./estimate_run.ts";

const TIMEOUT_MS = 8_000;
/** 10 ms a token with a full batch. */
const PROFILE = {
  stepMs: 2,
  stepPerRequestMs: 1,
  maxBatch: 8,
  prefillTokensPerS: 10_000,
} as EngineProfile;

test("A request of unknown size runs until its timeout at the longest", () => {
  assert.equal(estimateLongestRunMs(createRequest({}), [PROFILE]), TIMEOUT_MS);
  const sized = createRequest({ maxAnswerTokens: 100 });
  assert.equal(estimateLongestRunMs(sized, [undefined]), TIMEOUT_MS);
  assert.equal(estimateLongestRunMs(sized, [PROFILE, undefined]), TIMEOUT_MS);
});

test("A stream of known size runs for its tokens on a slow group at the longest", () => {
  const short = createRequest({ promptTokens: 1_000, maxAnswerTokens: 100 });
  assert.equal(estimateLongestRunMs(short, [PROFILE]), 2 * (100 + 1_000));
  const long = createRequest({ maxAnswerTokens: 1_000 });
  assert.equal(estimateLongestRunMs(long, [PROFILE]), TIMEOUT_MS);
});

function createRequest(
  head: Partial<Pick<CallerHead, "promptTokens" | "maxAnswerTokens">>,
) {
  return {
    route: { timeoutMs: TIMEOUT_MS } as Route,
    head: { promptTokens: 0, maxAnswerTokens: 0, ...head } as CallerHead,
  };
}
