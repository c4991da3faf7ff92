/** Estimates of how long requests run. */

import type { CallerHead } from "@dandelionbank/platform-adapter";
import type { EngineProfile } from "@dandelionbank/types";
import { computeTimeoutMs, type RoutedRequest } from "./routed_request.ts";

/** How much slower than a full, balanced group a group may run. */
const LONGEST_RUN_FACTOR = 2;
const MS_PER_S = 1_000;

/**
 * Returns the longest time that a request is expected to run if it is sent now:
 * until its timeout, which began on its arrival, or for a stream whose size is
 * known, the time that a slow group takes for it.
 */
export function estimateLongestRunMs(
  request: Pick<RoutedRequest, "head" | "route" | "arrivedAtMs">,
  { profiles, nowMs }: {
    readonly profiles: readonly (EngineProfile | undefined)[];
    readonly nowMs: number;
  },
): number {
  const { head, arrivedAtMs } = request;
  const remainingMs = arrivedAtMs + computeTimeoutMs(request) - nowMs;
  const runsMs = profiles.map((profile) =>
    profile === undefined || head.maxAnswerTokens === 0
      ? remainingMs
      : estimateLongestStreamMs(profile, head)
  );
  return Math.min(remainingMs, Math.max(...runsMs));
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

function estimateLongestStreamMs(
  profile: EngineProfile,
  { promptTokens, maxAnswerTokens }: CallerHead,
): number {
  const runMs = estimatePrefillMs(profile, promptTokens) +
    maxAnswerTokens * estimateFullStepMs(profile);
  return runMs * LONGEST_RUN_FACTOR;
}
