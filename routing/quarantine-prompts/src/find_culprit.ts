/**
 * Finds the prompt part that explains most crashes. A crash interrupts sound
 * requests too, so a part has to be lost again and again without being answered
 * in between, while prompts without it are answered.
 */

import { countRequests, type CrashRecord, listParts } from "./crash_records.ts";
import type { PartArrivals } from "./part_arrivals.ts";
import type { PartSurvivals } from "./part_survivals.ts";
import type { Culprit } from "./types.ts";

/** What makes a part a culprit. */
interface Threshold {
  readonly crashes: number;
  /** Minimum ratio of these to all crashes since the first of them. */
  readonly crashRatio: number;
  /** Prompts that were answered since the part was last. */
  readonly otherSurvivals: number;
  /**
   * Highest probability that the crashes interrupted requests with the part by
   * chance.
   */
  readonly chance: number;
}

/** Sound requests are often lost in one crash, and some of them in two. */
const NEVER_ANSWERED: Threshold = {
  crashes: 3,
  crashRatio: 0,
  otherSurvivals: 200,
  chance: 1,
};
/**
 * While hardly any target answers, a part of most prompts looks like a culprit, so
 * the crashes must be ones that such a part would not explain.
 */
const NOTHING_ANSWERED: Threshold = {
  crashes: 4,
  crashRatio: 0,
  otherSurvivals: 0,
  chance: 0.01,
};
/**
 * A part that has been answered is a culprit only if it has changed its effect,
 * which is less likely than that it was lost beside one that never was answered.
 */
const ANSWERED_BEFORE: Threshold = {
  crashes: 6,
  crashRatio: 0.9,
  otherSurvivals: 60,
  chance: 1,
};
/** Targets that fail together, as those of one rack do, count as one failure. */
const SAME_FAILURE_MS = 250;
const MIN_FAILURES = 2;

interface Evidence {
  readonly part: string;
  readonly targets: string[];
  readonly timesMs: number[];
  /** Requests that each of the crashes interrupted. */
  readonly requestCounts: number[];
  requests: number;
  depth: number;
  /** Whether one of the crashes is not explained by another culprit. */
  isNeeded: boolean;
}

export interface CulpritOptions {
  readonly survivals: PartSurvivals;
  readonly arrivals: PartArrivals;
  /** Whether the part was a culprit before, so that one crash is conclusive. */
  readonly wasCulprit: (part: string) => boolean;
}

/** Returns the part that explains most of the crashes, if one does. */
export function findCulprit(
  crashes: readonly CrashRecord[],
  options: CulpritOptions,
): Culprit | undefined {
  const [culprit] = collectEvidence(crashes, options.survivals)
    .filter((evidence) => isConclusive(evidence, { ...options, crashes }))
    .sort(compareEvidence);
  if (culprit === undefined) return undefined;
  const { part, targets, requests } = culprit;
  return { part, targets, requests };
}

function collectEvidence(
  crashes: readonly CrashRecord[],
  survivals: PartSurvivals,
): readonly Evidence[] {
  const byPart = new Map<string, Evidence>();
  for (const crash of crashes) {
    for (const { part, requests, depth } of listParts(crash)) {
      const survivedAtMs = survivals.find(part)?.atMs;
      if (survivedAtMs !== undefined && survivedAtMs >= crash.atMs) continue;
      const evidence: Evidence = byPart.get(part) ??
        {
          part,
          targets: [],
          timesMs: [],
          requestCounts: [],
          requests: 0,
          depth: 0,
          isNeeded: false,
        };
      byPart.set(part, evidence);
      evidence.requests += requests;
      evidence.depth = Math.max(evidence.depth, depth);
      evidence.isNeeded ||= !crash.isExplained;
      if (evidence.targets.at(-1) === crash.target) continue;
      evidence.targets.push(crash.target);
      evidence.timesMs.push(crash.atMs);
      evidence.requestCounts.push(countRequests(crash));
    }
  }
  return [...byPart.values()];
}

function isConclusive(
  evidence: Evidence,
  options: CulpritOptions & { readonly crashes: readonly CrashRecord[] },
): boolean {
  const { part, isNeeded } = evidence;
  if (!isNeeded) return false;
  if (options.wasCulprit(part)) return true;
  const thresholds = options.survivals.find(part) === undefined
    ? [NEVER_ANSWERED, NOTHING_ANSWERED]
    : [ANSWERED_BEFORE];
  return thresholds.some((threshold) =>
    isReached(threshold, { evidence, ...options })
  );
}

function isReached(
  threshold: Threshold,
  { evidence, crashes, survivals, arrivals }: CulpritOptions & {
    readonly evidence: Evidence;
    readonly crashes: readonly CrashRecord[];
  },
): boolean {
  const { part, targets, timesMs, requestCounts } = evidence;
  const firstMs = Math.min(...timesMs);
  const crashCount = crashes.filter(({ atMs }) => atMs >= firstMs).length;
  const chance = computeChance(requestCounts, arrivals.estimateShare(part));
  return targets.length >= threshold.crashes &&
    targets.length >= crashCount * threshold.crashRatio &&
    countFailures(timesMs) >= MIN_FAILURES &&
    survivals.countPromptsSince(part) >= threshold.otherSurvivals &&
    chance <= threshold.chance;
}

/**
 * Computes the probability that each of several crashes, with these numbers of
 * interrupted requests, interrupts one with a part of the given share.
 */
function computeChance(
  requestCounts: readonly number[],
  share: number | undefined,
): number {
  if (share === undefined) return 1;
  return requestCounts.reduce(
    (chance, count) => chance * (1 - (1 - share) ** count),
    1,
  );
}

/** Counts the crashes, those at about the same time as one. */
function countFailures(timesMs: readonly number[]): number {
  let count = 0;
  let failureMs = Number.NEGATIVE_INFINITY;
  for (const timeMs of [...timesMs].sort((a, b) => a - b)) {
    if (timeMs - failureMs <= SAME_FAILURE_MS) continue;
    failureMs = timeMs;
    count += 1;
  }
  return count;
}

/**
 * Orders by the number of crashes. Of parts that explain the same ones, that in
 * the fewest requests comes first, and then that which is deepest in the prompt:
 * the parts before it are shared by more prompts, and refusing them costs more.
 */
function compareEvidence(a: Evidence, b: Evidence): number {
  return b.targets.length - a.targets.length ||
    a.requests - b.requests || b.depth - a.depth;
}
