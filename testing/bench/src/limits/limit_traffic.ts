/**
 * The demand of many organisations on the entries that serve them: sizes that
 * are skewed between organisations, skewed between the entries of each, and
 * that move from entry to entry while the sum rises above the limit and falls.
 */

import type { Random } from "@dandelionbank/message-queue";

const REQUESTS_PER_SECOND = 3_800;
/** Entries get so many requests a second of one organisation before it gets another. */
const RATE_PER_ENTRY = 25;
const MIN_ENTRIES = 3;
const SKEW = 0.8;
const MOVE_EVERY_S = 30;

export interface OrganisationTraffic {
  readonly name: string;
  readonly requestsPerSecond: number;
  /** The entries that serve it, the preferred coordinator first. */
  readonly entries: readonly string[];
  /** Demand at each of its entries, in requests a second. */
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
    (_, index) => 1 / (index + 1) ** SKEW,
  );
  const sum = weights.reduce((total, weight) => total + weight, 0);
  return weights.map((weight, index) => {
    const requestsPerSecond = Math.max(2, REQUESTS_PER_SECOND * weight / sum);
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
          total: requestsPerSecond * levelAt(second + phase),
          second: second + phase,
        }),
    };
  });
}

/** From a third of the limit to a half above it and back in two minutes. */
function levelAt(second: number): number {
  return 0.9 + 0.6 * Math.sin(second * 2 * Math.PI / 120);
}

/** Most goes to one entry, and the place of the most moves on, gradually. */
function spreadDemand(
  count: number,
  { total, second }: { readonly total: number; readonly second: number },
): readonly number[] {
  const moved = second / MOVE_EVERY_S;
  const place = Math.floor(moved);
  const part = Math.min(1, (moved - place) * 3);
  const weights = Array.from({ length: count }, (_, index) => {
    const before = weightOf(index - place + 1, count);
    const after = weightOf(index - place, count);
    return before * (1 - part) + after * part;
  });
  const sum = weights.reduce((all, weight) => all + weight, 0);
  return weights.map((weight) => total * weight / sum);
}

function weightOf(place: number, count: number): number {
  return 1 / (1 + ((place % count) + count) % count);
}

function drawEntries(
  random: Random,
  { from, count }: { readonly from: readonly string[]; readonly count: number },
): readonly string[] {
  const left = [...from];
  const drawn: string[] = [];
  while (drawn.length < count && left.length > 0) {
    drawn.push(...left.splice(random.int(0, left.length - 1), 1));
  }
  return drawn;
}
