/**
 * Demand of many organisations at the entries that serve them. It is skewed
 * between organisations and between the entries of each organisation. The
 * hotspot moves from entry to entry, while an organisation's total demand
 * oscillates around its limit.
 */

import type { Random } from "@dandelionbank/message-queue";

const TOTAL_REQUESTS_PER_SECOND = 3_800;
/** An organisation gets another entry for each such number of requests per second. */
const RATE_PER_ENTRY = 25;
const MIN_ENTRIES = 3;
const ZIPF_EXPONENT = 0.8;
const HOTSPOT_MOVE_INTERVAL_S = 30;

export interface OrganisationTraffic {
  readonly name: string;
  readonly requestsPerSecond: number;
  /** The entries that serve the organisation, preferred coordinator first. */
  readonly entries: readonly string[];
  /** Demand at each of these entries, in requests per second. */
  readonly demandAt: (second: number) => readonly number[];
}

export function createTraffic(
  random: Random,
  options: {
    readonly entries: readonly string[];
    readonly organisations: number;
  },
): readonly OrganisationTraffic[] {
  const weights = Array.from(
    { length: options.organisations },
    (_, index) => 1 / (index + 1) ** ZIPF_EXPONENT,
  );
  const sum = weights.reduce((total, weight) => total + weight, 0);
  return weights.map((weight, index) => {
    const requestsPerSecond = Math.max(
      2,
      TOTAL_REQUESTS_PER_SECOND * weight / sum,
    );
    const entries = drawEntries(random, {
      from: options.entries,
      count: MIN_ENTRIES + Math.ceil(requestsPerSecond / RATE_PER_ENTRY),
    });
    const phase = random.int(0, 1_000);
    return {
      name: `organisation-${index}`,
      requestsPerSecond,
      entries,
      demandAt: (second) =>
        spreadDemand(entries.length, {
          total: requestsPerSecond * computeDemandLevel(second + phase),
          second: second + phase,
        }),
    };
  });
}

/** Oscillates between 0.3 and 1.5 times the limit with a period of 120 s. */
function computeDemandLevel(second: number): number {
  return 0.9 + 0.6 * Math.sin(second * 2 * Math.PI / 120);
}

/**
 * Concentrates demand at a hotspot entry. The hotspot moves to the next entry at
 * each interval, gradually over the first third of it.
 */
function spreadDemand(
  count: number,
  { total, second }: { readonly total: number; readonly second: number },
): readonly number[] {
  const moveCount = second / HOTSPOT_MOVE_INTERVAL_S;
  const hotspot = Math.floor(moveCount);
  const transition = Math.min(1, (moveCount - hotspot) * 3);
  const weights = Array.from({ length: count }, (_, index) => {
    const before = computeEntryWeight(index - hotspot + 1, count);
    const after = computeEntryWeight(index - hotspot, count);
    return before * (1 - transition) + after * transition;
  });
  const sum = weights.reduce((all, weight) => all + weight, 0);
  return weights.map((weight) => total * weight / sum);
}

function computeEntryWeight(position: number, count: number): number {
  return 1 / (1 + ((position % count) + count) % count);
}

function drawEntries(
  random: Random,
  { from, count }: { readonly from: readonly string[]; readonly count: number },
): readonly string[] {
  const remaining = [...from];
  const drawn: string[] = [];
  while (drawn.length < count && remaining.length > 0) {
    drawn.push(...remaining.splice(random.int(0, remaining.length - 1), 1));
  }
  return drawn;
}
