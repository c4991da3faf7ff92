/**
 * Plans a group's next expert map from the one in force. A pass takes, set by
 * set, as long as its most loaded rank, so the plan relieves the most loaded
 * rank of the set that is furthest above its mean, one move at a time: another
 * copy of an expert, a copy dropped, or two experts exchanged.
 *
 * Load pattern: the experts in demand change at once, every few seconds. Until
 * the copies are there, nothing is gained, so a plan may be held to few copies
 * a rank; what is left is for the next plan.
 */

import type { ExpertMap, ExpertProfile } from "@dandelionbank/types";
import { SetLayout } from "./set_layout.ts";

export interface PlanOptions {
  readonly profile: ExpertProfile;
  /** In force; `[set][rank]`. */
  readonly map: ExpertMap;
  /** By set: how often each expert is chosen. */
  readonly demand: readonly (readonly number[])[];
  /** By rank: over 1 for a slow one. */
  readonly paces: readonly number[];
  /** Most experts copied to one rank, all sets together. */
  readonly maxCopiesPerRank: number;
  /** No move is made for a set whose skew is below this. */
  readonly targetSkew: number;
}

export interface ExpertPlan {
  readonly map: ExpertMap;
  /** Skew of the map in force and of the plan: highest cost by the mean. */
  readonly skewBefore: number;
  readonly skewAfter: number;
  /** Experts that ranks have to copy. */
  readonly copies: number;
  readonly maxCopiesOnRank: number;
}

export function planExperts(options: PlanOptions): ExpertPlan {
  const { profile, map, demand, paces } = options;
  const layouts = map.map((held, set) =>
    SetLayout.create({
      demand: demand[set] ?? [],
      held,
      paces,
      limits: {
        maxExpertsPerRank: profile.maxExpertsPerRank,
        newPerRank: profile.maxNewPerChange,
      },
    })
  );
  const skewBefore = computePassSkew(layouts);
  applyMoves(layouts, options);
  const copies = paces.map((_, rank) => countAddedExperts(layouts, rank));
  return {
    map: layouts.map(({ held }) => held),
    skewBefore,
    skewAfter: computePassSkew(layouts),
    copies: copies.reduce((sum, count) => sum + count, 0),
    maxCopiesOnRank: Math.max(0, ...copies),
  };
}

/** The map that a group starts with: experts are dealt to the ranks in turn. */
export function createInitialMap(
  { layerSets, expertsPerSet }: ExpertProfile,
  rankCount: number,
): ExpertMap {
  const set = Array.from({ length: rankCount }, (_, rank) => {
    const count = Math.ceil((expertsPerSet - rank) / rankCount);
    return Array.from({ length: count }, (_, turn) => rank + turn * rankCount);
  });
  return Array.from({ length: layerSets }, () => set);
}

function applyMoves(
  layouts: readonly SetLayout[],
  { targetSkew, maxCopiesPerRank }: PlanOptions,
): void {
  const open = new Set(layouts);
  const mayCopyTo = (rank: number) =>
    countAddedExperts(layouts, rank) < maxCopiesPerRank;
  while (open.size > 0) {
    const layout = selectMostUneven(open);
    const isEven = layout.maxCost <= layout.meanCost * targetSkew;
    const move = isEven ? undefined : layout.findBestMove(mayCopyTo);
    if (move === undefined) open.delete(layout);
    else layout.applyMove(move);
  }
}

function selectMostUneven(layouts: ReadonlySet<SetLayout>): SetLayout {
  let worst: SetLayout | undefined;
  let worstExcess = Number.NEGATIVE_INFINITY;
  for (const layout of layouts) {
    const excess = layout.maxCost - layout.meanCost;
    if (excess <= worstExcess) continue;
    worst = layout;
    worstExcess = excess;
  }
  return worst as SetLayout;
}

function countAddedExperts(
  layouts: readonly SetLayout[],
  rank: number,
): number {
  return layouts.reduce((sum, layout) => sum + layout.countAdded(rank), 0);
}

/** Of a whole pass: sets follow one another, each as slow as its worst rank. */
function computePassSkew(layouts: readonly SetLayout[]): number {
  const mean = layouts.reduce((sum, { meanCost }) => sum + meanCost, 0);
  if (mean <= 0) return 1;
  return layouts.reduce((sum, { maxCost }) => sum + maxCost, 0) / mean;
}
