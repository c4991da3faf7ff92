/**
 * Placement of the experts of one layer set on the ranks, with the load that a
 * given demand puts on each rank. Ranks that hold the same expert share its
 * tokens evenly. The cost of a rank is its load times its pace.
 */

export interface LayoutLimits {
  readonly maxExpertsPerRank: number;
  /** Maximum number of experts on a rank that it did not hold before. */
  readonly maxNewPerRank: number;
}

export interface LayoutOptions {
  readonly demand: readonly number[];
  /** Experts held, by rank. */
  readonly held: readonly (readonly number[])[];
  readonly limits: LayoutLimits;
  /** Relative time per unit of work, by rank; above 1 for a slow rank. */
  readonly paces: readonly number[];
}

/** Change of one rank: an expert added, an expert dropped, or both. */
interface RankChange {
  readonly rank: number;
  readonly added: number | undefined;
  readonly dropped: number | undefined;
}

export interface Move {
  readonly changes: readonly RankChange[];
  /** Highest cost among the ranks affected by the move. */
  readonly maxCost: number;
}

/** Minimum part by which a move must reduce the highest cost. */
const MIN_COST_REDUCTION = 0.005;
/**
 * Number of least loaded ranks that are considered as receivers; in a large group
 * trying all of them would take most of the planning time. They are tried from
 * the most to the least loaded, because the first of equally good moves wins:
 * this leaves the least loaded ranks for the experts most in demand.
 */
const MAX_RECEIVING_RANKS = 16;

export class SetLayout {
  readonly #demand: readonly number[];
  readonly #limits: LayoutLimits;
  readonly #paces: readonly number[];
  readonly #initialExperts: readonly ReadonlySet<number>[];
  readonly #experts: Set<number>[];
  readonly #holders: Set<number>[];
  readonly #loads: number[];
  readonly #addedCounts: number[];
  /** Load changes of the move being evaluated, by rank. */
  readonly #loadChanges = new Map<number, number>();
  #maxCost = 0;
  #meanCost = 0;

  private constructor({ demand, held, limits, paces }: LayoutOptions) {
    this.#demand = demand;
    this.#limits = limits;
    this.#paces = paces;
    this.#initialExperts = held.map((experts) => new Set(experts));
    this.#experts = held.map((experts) => new Set(experts));
    this.#holders = demand.map(() => new Set<number>());
    held.forEach((experts, rank) => {
      for (const expert of experts) this.#holders[expert]?.add(rank);
    });
    this.#loads = held.map((_, rank) => this.#computeLoad(rank));
    this.#addedCounts = held.map(() => 0);
    this.#updateCosts();
  }

  static create(options: LayoutOptions): SetLayout {
    return new SetLayout(options);
  }

  get held(): readonly (readonly number[])[] {
    return this.#experts.map((experts) => [...experts]);
  }

  get maxCost(): number {
    return this.#maxCost;
  }

  get meanCost(): number {
    return this.#meanCost;
  }

  /** Number of experts on a rank that it did not hold before. */
  countAdded(rank: number): number {
    return this.#addedCounts[rank]!;
  }

  /**
   * Finds the move that reduces the highest rank cost most; `undefined` if none
   * does.
   */
  findBestMove(mayCopyTo: (rank: number) => boolean): Move | undefined {
    const costs = this.#loads.map((_, rank) => this.#computeCost(rank));
    const costliest = costs.indexOf(this.#maxCost);
    const receivers = costs.map((cost, rank) => ({ cost, rank }))
      .filter(({ rank }) => rank !== costliest)
      .sort((left, right) => left.cost - right.cost)
      .slice(0, MAX_RECEIVING_RANKS)
      .reverse()
      .map(({ rank }) => rank);
    let best: Move | undefined;
    let bound = this.#maxCost * (1 - MIN_COST_REDUCTION);
    for (
      const changes of this.#listMoves({ costliest, receivers, mayCopyTo })
    ) {
      const moveMaxCost = this.#evaluateMove(changes, bound);
      if (moveMaxCost === undefined) continue;
      best = { changes, maxCost: moveMaxCost };
      bound = moveMaxCost;
    }
    return best;
  }

  applyMove({ changes }: Move): void {
    this.#collectAllLoadChanges(changes);
    for (const change of changes) this.#applyChange(change);
    // Recomputed from the experts held, so that rounding errors don't accumulate.
    for (const rank of this.#loadChanges.keys()) {
      this.#loads[rank] = this.#computeLoad(rank);
    }
    this.#updateCosts();
  }

  *#listMoves(
    { costliest, receivers, mayCopyTo }: {
      readonly costliest: number;
      readonly receivers: readonly number[];
      readonly mayCopyTo: (rank: number) => boolean;
    },
  ): Generator<readonly RankChange[]> {
    for (const expert of this.#experts[costliest]!) {
      if (this.#holders[expert]!.size > 1) {
        yield [{ rank: costliest, added: undefined, dropped: expert }];
      }
      for (const rank of receivers) {
        if (this.#experts[rank]!.has(expert)) continue;
        if (!this.#mayAdd({ rank, expert, mayCopyTo })) continue;
        yield* this.#listTransfers({ costliest, expert, rank, mayCopyTo });
      }
    }
  }

  /** Lists the moves that bring an expert of the costliest rank to another rank. */
  *#listTransfers(
    { costliest, expert, rank, mayCopyTo }: {
      readonly costliest: number;
      readonly expert: number;
      readonly rank: number;
      readonly mayCopyTo: (rank: number) => boolean;
    },
  ): Generator<readonly RankChange[]> {
    if (this.#experts[rank]!.size < this.#limits.maxExpertsPerRank) {
      const addition = { rank, added: expert, dropped: undefined };
      yield [addition];
      yield [addition, { rank: costliest, added: undefined, dropped: expert }];
    }
    for (const replaced of this.#experts[rank]!) {
      if (this.#holders[replaced]!.size > 1) {
        yield [{ rank, added: expert, dropped: replaced }];
      }
      if (this.#experts[costliest]!.has(replaced)) continue;
      if (!this.#mayAdd({ rank: costliest, expert: replaced, mayCopyTo })) {
        continue;
      }
      yield [
        { rank, added: expert, dropped: replaced },
        { rank: costliest, added: replaced, dropped: expert },
      ];
    }
  }

  #mayAdd(
    { rank, expert, mayCopyTo }: {
      readonly rank: number;
      readonly expert: number;
      readonly mayCopyTo: (rank: number) => boolean;
    },
  ): boolean {
    if (this.#initialExperts[rank]!.has(expert)) return true;
    return this.countAdded(rank) < this.#limits.maxNewPerRank &&
      mayCopyTo(rank);
  }

  /** Returns the highest cost among the affected ranks if it is below the bound. */
  #evaluateMove(
    changes: readonly RankChange[],
    bound: number,
  ): number | undefined {
    this.#collectAllLoadChanges(changes);
    let maxCost = 0;
    for (const [rank, change] of this.#loadChanges) {
      maxCost = Math.max(maxCost, this.#computeCost(rank, change));
      if (maxCost >= bound) return undefined;
    }
    return maxCost;
  }

  /** Collects by how much the changes alter the load of each affected rank. */
  #collectAllLoadChanges(changes: readonly RankChange[]): void {
    this.#loadChanges.clear();
    for (const { rank, added, dropped } of changes) {
      if (added !== undefined) {
        this.#collectLoadChanges(changes, { rank, expert: added });
      }
      if (dropped === undefined) continue;
      this.#collectLoadChanges(changes, {
        rank,
        expert: dropped,
        isDropped: true,
      });
    }
  }

  #collectLoadChanges(
    changes: readonly RankChange[],
    { rank, expert, isDropped = false }: {
      readonly rank: number;
      readonly expert: number;
      readonly isDropped?: boolean;
    },
  ): void {
    const holders = this.#holders[expert]!;
    const demand = this.#demand[expert]!;
    let count = holders.size;
    for (const { added, dropped } of changes) {
      if (added === expert) count += 1;
      if (dropped === expert) count -= 1;
    }
    const share = demand / count;
    if (!isDropped) {
      this.#addLoadChange(rank, share);
    } else {
      this.#addLoadChange(rank, -demand / holders.size);
    }
    // Moving an expert leaves the load of its other holders unchanged. They are
    // included all the same: the move is no gain if one of them is as costly.
    const change = share - demand / holders.size;
    for (const holder of holders) {
      if (!isDropped || holder !== rank) this.#addLoadChange(holder, change);
    }
  }

  #addLoadChange(rank: number, change: number): void {
    this.#loadChanges.set(rank, (this.#loadChanges.get(rank) ?? 0) + change);
  }

  #applyChange({ rank, added, dropped }: RankChange): void {
    if (dropped !== undefined) {
      this.#experts[rank]!.delete(dropped);
      this.#holders[dropped]!.delete(rank);
      if (!this.#initialExperts[rank]!.has(dropped)) {
        this.#addedCounts[rank]! -= 1;
      }
    }
    if (added !== undefined) {
      this.#experts[rank]!.add(added);
      this.#holders[added]!.add(rank);
      if (!this.#initialExperts[rank]!.has(added)) {
        this.#addedCounts[rank]! += 1;
      }
    }
  }

  #updateCosts(): void {
    let sum = 0;
    this.#maxCost = 0;
    for (let rank = 0; rank < this.#loads.length; rank++) {
      const cost = this.#computeCost(rank);
      this.#maxCost = Math.max(this.#maxCost, cost);
      sum += cost;
    }
    this.#meanCost = sum / this.#loads.length;
  }

  #computeLoad(rank: number): number {
    let load = 0;
    for (const expert of this.#experts[rank]!) {
      load += this.#demand[expert]! / this.#holders[expert]!.size;
    }
    return load;
  }

  #computeCost(rank: number, change = 0): number {
    return (this.#loads[rank]! + change) * (this.#paces[rank] ?? 1);
  }
}
