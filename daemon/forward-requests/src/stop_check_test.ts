import type { CallerHead } from "@dandelionbank/platform-adapter";
import type { EngineProfile, Route } from "@dandelionbank/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { StopCheck } from "./stop_check.ts";

const LEFT_MS = 5_000;
/** 10 ms a token with a full batch, so 20 ms at the longest. */
const PROFILE = {
  stepMs: 2,
  stepPerRequestMs: 1,
  maxBatch: 8,
  prefillTokensPerS: 10_000,
} as EngineProfile;

test("An entry that does not stop lets any request be sent", () => {
  const check = createCheck();
  const request = createRequest({ timeoutMs: 60_000 });
  assert.equal(check.findRefusal(request), undefined);
  assert.equal(check.computeLatestStartMs(request), Number.POSITIVE_INFINITY);
});

test("A stopping entry refuses what may not end, and nothing else", () => {
  const check = createCheck();
  check.begin(performance.now() + LEFT_MS);
  const isRefused = (timeoutMs: number, maxAnswerTokens = 0) =>
    check.findRefusal(createRequest({ timeoutMs, maxAnswerTokens })) !==
      undefined;
  assert.ok(isRefused(LEFT_MS + 1_000));
  assert.ok(!isRefused(LEFT_MS - 1_000));
  assert.ok(isRefused(LEFT_MS + 1_000, 300));
  assert.ok(!isRefused(LEFT_MS + 1_000, 200));
});

test("A request may wait for as long as it can still end", () => {
  const check = createCheck();
  const endAtMs = performance.now() + LEFT_MS;
  check.begin(endAtMs);
  const latestStartMs = (timeoutMs: number) =>
    check.computeLatestStartMs(
      createRequest({ timeoutMs, maxAnswerTokens: 200 }),
    );
  assert.equal(latestStartMs(LEFT_MS + 1_000), endAtMs - 200 * 20);
  assert.equal(latestStartMs(LEFT_MS - 1_000), Number.POSITIVE_INFINITY);
});

test("A request that was accepted may be sent after the end of accepting", () => {
  const check = createCheck();
  check.begin(performance.now() + LEFT_MS);
  check.endAccepting();
  const request = createRequest({ timeoutMs: 1_000 });
  assert.match(check.findRefusal(request) ?? "", /no further request/);
  assert.equal(check.findLateness(request), undefined);
});

function createCheck(): StopCheck {
  return StopCheck.create({
    readConditions: () => ({ profile: PROFILE, slowdown: 0 }),
    countEntries: () => 1,
  });
}

function createRequest(
  { timeoutMs, maxAnswerTokens = 0 }: {
    readonly timeoutMs: number;
    readonly maxAnswerTokens?: number;
  },
) {
  return {
    route: {
      timeoutMs,
      shares: [{ service: "s", weight: 1 }],
    } as unknown as Route,
    head: { promptTokens: 0, maxAnswerTokens } as CallerHead,
    arrivedAtMs: performance.now(),
  };
}
