/**
 * The experts of one layer set on the ranks, with the load that a demand gives
 * each rank. Ranks that hold the same expert share its tokens evenly.
 */

export interface LayoutLimits {
  readonly maxExpertsPerRank: number;
  /** Most experts on a rank that were not there before the change. */
  readonly newPerRank: number;
}

export interface LayoutOptions {
  readonly demand: readonly number[];
  /** By rank: the experts held. */
  readonly held: readonly (readonly number[])[];
  readonly limits: LayoutLimits;
  /** By rank: over 1 for a slow one. */
  readonly paces: readonly number[];
}

/** One expert that comes to a rank, one that leaves it, or both. */
interface RankChange {
  readonly rank: number;
  readonly added: number | undefined;
  readonly dropped: number | undefined;
}

export interface Move {
  readonly changes: readonly RankChange[];
  /** Highest cost among the ranks that the move touches. */
  readonly maxCost: number;
}

/** A move must take off at least this part of the highest cost. */
const MIN_COST_REDUCTION = 0.005;
/**
 * Work goes to the least loaded ranks; trying all of a large group takes most
 * of a plan's time. Of these the fullest comes first, since the first of equal
 * moves is taken: the emptiest ranks are left for the experts most in demand.
 */
const MAX_RECEIVING_RANKS = 16;

export class SetLayout {
  readonly #demand: readonly number[];
  readonly #limits: LayoutLimits;
  readonly #paces: readonly number[];
  readonly #base: readonly ReadonlySet<number>[];
  readonly #held: Set<number>[];
  readonly #holders: Set<number>[];
  readonly #loads: number[];
  readonly #newCounts: number[];
  /** Changes of load that a move under trial brings, by rank. */
  readonly #changes = new Map<number, number>();
  #maxCost = 0;
  #meanCost = 0;

  private constructor({ demand, held, limits, paces }: LayoutOptions) {
    this.#demand = demand;
    this.#limits = limits;
    this.#paces = paces;
    this.#base = held.map((experts) => new Set(experts));
    this.#held = held.map((experts) => new Set(experts));
    this.#holders = demand.map(() => new Set<number>());
    held.forEach((experts, rank) => {
      for (const expert of experts) this.#holders[expert]?.add(rank);
    });
    this.#loads = held.map((_, rank) => this.#readLoad(rank));
    this.#newCounts = held.map(() => 0);
    this.#sumUp();
  }

  static create(options: LayoutOptions): SetLayout {
    return new SetLayout(options);
  }

  get held(): readonly (readonly number[])[] {
    return this.#held.map((experts) => [...experts]);
  }

  get maxCost(): number {
    return this.#maxCost;
  }

  get meanCost(): number {
    return this.#meanCost;
  }

  /** Experts on a rank that were not there before. */
  countAdded(rank: number): number {
    return this.#newCounts[rank]!;
  }

  /** The move that relieves the costliest rank most; `undefined` if none does. */
  findBestMove(mayCopyTo: (rank: number) => boolean): Move | undefined {
    const costs = this.#loads.map((_, rank) => this.#costOf(rank));
    const hot = costs.indexOf(this.#maxCost);
    const receivers = costs.map((cost, rank) => ({ cost, rank }))
      .filter(({ rank }) => rank !== hot)
      .sort((left, right) => left.cost - right.cost)
      .slice(0, MAX_RECEIVING_RANKS)
      .reverse()
      .map(({ rank }) => rank);
    let best: Move | undefined;
    let bound = this.#maxCost * (1 - MIN_COST_REDUCTION);
    for (const steps of this.#listMoves({ hot, receivers, mayCopyTo })) {
      const worstCost = this.#tryMove(steps, bound);
      if (worstCost === undefined) continue;
      best = { changes: steps, maxCost: worstCost };
      bound = worstCost;
    }
    return best;
  }

  applyMove({ changes }: Move): void {
    this.#collectChanges(changes);
    for (const change of changes) this.#change(change);
    // Anew from the experts held, so that rounding does not add up.
    for (const rank of this.#changes.keys()) {
      this.#loads[rank] = this.#readLoad(rank);
    }
    this.#sumUp();
  }

  *#listMoves(
    { hot, receivers, mayCopyTo }: {
      readonly hot: number;
      readonly receivers: readonly number[];
      readonly mayCopyTo: (rank: number) => boolean;
    },
  ): Generator<readonly RankChange[]> {
    for (const expert of this.#held[hot]!) {
      if (this.#holders[expert]!.size > 1) {
        yield [{ rank: hot, added: undefined, dropped: expert }];
      }
      for (const rank of receivers) {
        if (this.#held[rank]!.has(expert)) continue;
        if (!this.#mayAdd({ rank, expert, mayCopyTo })) continue;
        yield* this.#listPlacings({ hot, expert, rank, mayCopyTo });
      }
    }
  }

  /** Ways to bring an expert of the costliest rank to another one. */
  *#listPlacings(
    { hot, expert, rank, mayCopyTo }: {
      readonly hot: number;
      readonly expert: number;
      readonly rank: number;
      readonly mayCopyTo: (rank: number) => boolean;
    },
  ): Generator<readonly RankChange[]> {
    if (this.#held[rank]!.size < this.#limits.maxExpertsPerRank) {
      const arrival = { rank, added: expert, dropped: undefined };
      yield [arrival];
      yield [arrival, { rank: hot, added: undefined, dropped: expert }];
    }
    for (const other of this.#held[rank]!) {
      if (this.#holders[other]!.size > 1) {
        yield [{ rank, added: expert, dropped: other }];
      }
      if (this.#held[hot]!.has(other)) continue;
      if (!this.#mayAdd({ rank: hot, expert: other, mayCopyTo })) continue;
      yield [
        { rank, added: expert, dropped: other },
        { rank: hot, added: other, dropped: expert },
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
    if (this.#base[rank]!.has(expert)) return true;
    return this.countAdded(rank) < this.#limits.newPerRank && mayCopyTo(rank);
  }

  /** The highest cost among the touched ranks, if it is below the bound. */
  #tryMove(steps: readonly RankChange[], bound: number): number | undefined {
    this.#collectChanges(steps);
    let worst = 0;
    for (const [rank, change] of this.#changes) {
      worst = Math.max(worst, this.#costOf(rank, change));
      if (worst >= bound) return undefined;
    }
    return worst;
  }

  /** The load of each rank whose load the steps change, by how much. */
  #collectChanges(steps: readonly RankChange[]): void {
    this.#changes.clear();
    for (const { rank, added, dropped } of steps) {
      if (added !== undefined) this.#noteChange(steps, { rank, expert: added });
      if (dropped === undefined) continue;
      this.#noteChange(steps, { rank, expert: dropped, isDropped: true });
    }
  }

  #noteChange(
    steps: readonly RankChange[],
    { rank, expert, isDropped = false }: {
      readonly rank: number;
      readonly expert: number;
      readonly isDropped?: boolean;
    },
  ): void {
    const holders = this.#holders[expert]!;
    const demand = this.#demand[expert]!;
    let count = holders.size;
    for (const { added, dropped } of steps) {
      if (added === expert) count += 1;
      if (dropped === expert) count -= 1;
    }
    const share = demand / count;
    if (!isDropped) {
      this.#addChange(rank, share);
    } else {
      this.#addChange(rank, -demand / holders.size);
    }
    // An expert that only moves leaves its other holders as they were, but a
    // move is no relief while one of them stays as costly.
    const change = share - demand / holders.size;
    for (const holder of holders) {
      if (!isDropped || holder !== rank) this.#addChange(holder, change);
    }
  }

  #addChange(rank: number, change: number): void {
    this.#changes.set(rank, (this.#changes.get(rank) ?? 0) + change);
  }

  #change({ rank, added, dropped }: RankChange): void {
    if (dropped !== undefined) {
      this.#held[rank]!.delete(dropped);
      this.#holders[dropped]!.delete(rank);
      if (!this.#base[rank]!.has(dropped)) this.#newCounts[rank]! -= 1;
    }
    if (added !== undefined) {
      this.#held[rank]!.add(added);
      this.#holders[added]!.add(rank);
      if (!this.#base[rank]!.has(added)) this.#newCounts[rank]! += 1;
    }
  }

  #sumUp(): void {
    let sum = 0;
    this.#maxCost = 0;
    for (let rank = 0; rank < this.#loads.length; rank++) {
      const cost = this.#costOf(rank);
      this.#maxCost = Math.max(this.#maxCost, cost);
      sum += cost;
    }
    this.#meanCost = sum / this.#loads.length;
  }

  #readLoad(rank: number): number {
    let load = 0;
    for (const expert of this.#held[rank]!) {
      load += this.#demand[expert]! / this.#holders[expert]!.size;
    }
    return load;
  }

  #costOf(rank: number, change = 0): number {
    return (this.#loads[rank]! + change) * (this.#paces[rank] ?? 1);
  }
}
