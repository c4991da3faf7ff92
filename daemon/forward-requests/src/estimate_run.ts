/** Estimates of how long requests run. */

import type { CallerHead } from "@dandelionbank/platform-adapter";
import type { EngineProfile } from "@dandelionbank/types";
import { computeTimeoutMs, type RoutedRequest } from "./routed_request.ts";

/** How much slower than a full, balanced group any group may run. */
const LONGEST_RUN_FACTOR = 2;
/** How much slower than lately a group may run. */
const SLOWDOWN_MARGIN = 1.5;
const MS_PER_S = 1_000;

/** A service that may get the request. */
export interface RunConditions {
  readonly profile: EngineProfile | undefined;
  /** How many times as long as expected its requests ran lately, at most. */
  readonly slowdown: number;
}

/**
 * Returns the longest time that a request is expected to run if it is sent now:
 * until its timeout, which began on its arrival, or for a request whose size is
 * known, the time that a slow group takes for it.
 */
export function estimateLongestRunMs(
  request: Pick<RoutedRequest, "head" | "route" | "arrivedAtMs">,
  { services, nowMs }: {
    readonly services: readonly RunConditions[];
    readonly nowMs: number;
  },
): number {
  const { head, arrivedAtMs } = request;
  const remainingMs = arrivedAtMs + computeTimeoutMs(request) - nowMs;
  const runsMs = services.map(({ profile, slowdown }) => {
    const expectedMs = estimateExpectedRunMs(profile, head);
    return expectedMs === undefined
      ? remainingMs
      : expectedMs * Math.max(LONGEST_RUN_FACTOR, slowdown * SLOWDOWN_MARGIN);
  });
  return Math.min(remainingMs, Math.max(...runsMs));
}

/**
 * Returns the time that a full, balanced group takes for a request; undefined if
 * the request's size or the group is unknown.
 */
export function estimateExpectedRunMs(
  profile: EngineProfile | undefined,
  { promptTokens, maxAnswerTokens }: CallerHead,
): number | undefined {
  if (profile === undefined || maxAnswerTokens === 0) return undefined;
  return estimatePrefillMs(profile, promptTokens) +
    maxAnswerTokens * estimateFullStepMs(profile);
}

/** Returns the time that a full, balanced group takes for an average request. */
export function estimateMeanRunMs(profile: EngineProfile): number {
  const { meanPromptTokens, meanAnswerTokens } = profile;
  return estimatePrefillMs(profile, meanPromptTokens) +
    meanAnswerTokens * estimateFullStepMs(profile);
}

/** Returns the duration of one token step of a full, balanced group. */
export function estimateFullStepMs(
  { stepMs, stepPerRequestMs, maxBatch }: EngineProfile,
): number {
  return stepMs + stepPerRequestMs * maxBatch;
}

export function estimatePrefillMs(
  { prefillTokensPerS }: EngineProfile,
  promptTokens: number,
): number {
  return promptTokens / prefillTokensPerS * MS_PER_S;
}
