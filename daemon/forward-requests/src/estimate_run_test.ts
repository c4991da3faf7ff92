import type { CallerHead } from "@dandelionbank/platform-adapter";
import type { EngineProfile, Route } from "@dandelionbank/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { estimateLongestRunMs } from "./estimate_run.ts";

const TIMEOUT_MS = 8_000;
const ARRIVED_AT_MS = 500;
/** 10 ms a token with a full batch. */
const PROFILE = {
  stepMs: 2,
  stepPerRequestMs: 1,
  maxBatch: 8,
  prefillTokensPerS: 10_000,
} as EngineProfile;

test("A request of unknown size runs until its timeout at the longest", () => {
  assert.equal(estimate({}, [PROFILE]), TIMEOUT_MS);
  const sized = { maxAnswerTokens: 100 };
  assert.equal(estimate(sized, [undefined]), TIMEOUT_MS);
  assert.equal(estimate(sized, [PROFILE, undefined]), TIMEOUT_MS);
});

test("A stream of known size runs for its tokens on a slow group at the longest", () => {
  const short = { promptTokens: 1_000, maxAnswerTokens: 100 };
  assert.equal(estimate(short, [PROFILE]), 2 * (100 + 1_000));
  const long = { maxAnswerTokens: 1_000 };
  assert.equal(estimate(long, [PROFILE]), TIMEOUT_MS);
});

// Guards against an estimate for a request that was uploaded slowly which counts
// its run from its arrival, or its timeout from the end of its body.
test("A request that was uploaded slowly has less of its timeout left, but runs no shorter", () => {
  const nowMs = ARRIVED_AT_MS + 3_000;
  assert.equal(estimate({}, [PROFILE], { nowMs }), TIMEOUT_MS - 3_000);
  const short = { maxAnswerTokens: 100 };
  assert.equal(estimate(short, [PROFILE], { nowMs }), 2 * 1_000);
  const long = { maxAnswerTokens: 300 };
  assert.equal(estimate(long, [PROFILE], { nowMs }), TIMEOUT_MS - 3_000);
});

test("A stream of known size runs longer where others ran longer than expected", () => {
  const short = { maxAnswerTokens: 100 };
  const estimateAt = (slowdown: number) =>
    estimate(short, [PROFILE], { slowdown });
  assert.equal(estimateAt(1), 2 * 1_000);
  assert.equal(estimateAt(4), 6 * 1_000);
  assert.equal(estimateAt(8), TIMEOUT_MS);
});

function estimate(
  head: Partial<Pick<CallerHead, "promptTokens" | "maxAnswerTokens">>,
  profiles: readonly (EngineProfile | undefined)[],
  { nowMs = ARRIVED_AT_MS, slowdown = 0 }: {
    readonly nowMs?: number;
    readonly slowdown?: number;
  } = {},
): number {
  return estimateLongestRunMs({
    route: { timeoutMs: TIMEOUT_MS } as Route,
    head: { promptTokens: 0, maxAnswerTokens: 0, ...head } as CallerHead,
    arrivedAtMs: ARRIVED_AT_MS,
  }, {
    services: profiles.map((profile) => ({ profile, slowdown })),
    nowMs,
  });
}
