/**
 * Plans a group's next expert map from the current one. A layer set is a part of
 * the model's layers with its own placement of experts. In each layer set a pass
 * takes as long as the most loaded rank. The planner therefore works on the set
 * whose most loaded rank is furthest above the mean, and reduces the load of
 * that rank by one move at a time: adding a copy of an expert, dropping a copy,
 * or exchanging two experts.
 *
 * Load pattern: the experts in demand change abruptly, every few seconds.
 * Nothing is gained until the copies have arrived, so a plan can be limited to
 * few copies per rank, which leaves the remainder to the next plan.
 */

import type { ExpertMap, ExpertProfile } from "@dandelionbank/types";
import { SetLayout } from "./set_layout.ts";

export interface PlanOptions {
  readonly profile: ExpertProfile;
  /** The current map; `[set][rank]`. */
  readonly map: ExpertMap;
  /** How often each expert is chosen, by set. */
  readonly demand: readonly (readonly number[])[];
  /** Relative time per unit of work, by rank; above 1 for a slow rank. */
  readonly paces: readonly number[];
  /** Maximum number of experts copied to one rank, over all sets. */
  readonly maxCopiesPerRank: number;
  /** Skew (highest rank cost divided by the mean) up to which a set is unchanged. */
  readonly targetSkew: number;
}

export interface ExpertPlan {
  readonly map: ExpertMap;
  /** Skew (highest rank cost divided by the mean) of the current map. */
  readonly skewBefore: number;
  /** Skew of the planned map. */
  readonly skewAfter: number;
  /** Number of experts to be copied, over all ranks. */
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
        maxNewPerRank: profile.maxNewPerChange,
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

/** Creates the map that a group starts with: experts are assigned round-robin. */
export function createInitialMap(
  { layerSets, expertsPerSet }: ExpertProfile,
  rankCount: number,
): ExpertMap {
  const set = Array.from({ length: rankCount }, (_, rank) => {
    const count = Math.ceil((expertsPerSet - rank) / rankCount);
    return Array.from(
      { length: count },
      (_, round) => rank + round * rankCount,
    );
  });
  return Array.from({ length: layerSets }, () => set);
}

function applyMoves(
  layouts: readonly SetLayout[],
  { targetSkew, maxCopiesPerRank }: PlanOptions,
): void {
  const remaining = new Set(layouts);
  const mayCopyTo = (rank: number) =>
    countAddedExperts(layouts, rank) < maxCopiesPerRank;
  while (remaining.size > 0) {
    const layout = selectMostUneven(remaining);
    const isEven = layout.maxCost <= layout.meanCost * targetSkew;
    const move = isEven ? undefined : layout.findBestMove(mayCopyTo);
    if (move === undefined) remaining.delete(layout);
    else layout.applyMove(move);
  }
}

function selectMostUneven(layouts: ReadonlySet<SetLayout>): SetLayout {
  let mostUneven: SetLayout | undefined;
  let maxExcess = Number.NEGATIVE_INFINITY;
  for (const layout of layouts) {
    const excess = layout.maxCost - layout.meanCost;
    if (excess <= maxExcess) continue;
    mostUneven = layout;
    maxExcess = excess;
  }
  return mostUneven as SetLayout;
}

function countAddedExperts(
  layouts: readonly SetLayout[],
  rank: number,
): number {
  return layouts.reduce((sum, layout) => sum + layout.countAdded(rank), 0);
}

/** Skew of a whole pass: sets run in sequence, each as slow as its slowest rank. */
function computePassSkew(layouts: readonly SetLayout[]): number {
  const mean = layouts.reduce((sum, { meanCost }) => sum + meanCost, 0);
  if (mean <= 0) return 1;
  return layouts.reduce((sum, { maxCost }) => sum + maxCost, 0) / mean;
}
