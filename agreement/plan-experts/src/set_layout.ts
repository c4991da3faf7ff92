/**
 * The experts of one layer set on the ranks, with the load that a demand gives
 * each rank. Ranks that hold the same expert share its tokens evenly.
 */

export interface LayoutLimits {
  readonly placesPerRank: number;
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
interface Step {
  readonly rank: number;
  readonly added: number | undefined;
  readonly dropped: number | undefined;
}

export interface Move {
  readonly steps: readonly Step[];
  /** Highest cost among the ranks that the move touches. */
  readonly worstCost: number;
}

/** A move must take off at least this part of the highest cost. */
const MIN_GAIN = 0.005;

export class SetLayout {
  readonly #demand: readonly number[];
  readonly #limits: LayoutLimits;
  readonly #paces: readonly number[];
  readonly #base: readonly ReadonlySet<number>[];
  readonly #held: Set<number>[];
  readonly #holders: Set<number>[];
  readonly #costs: number[];

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
    this.#costs = held.map((_, rank) => this.#costOf(rank));
  }

  static create(options: LayoutOptions): SetLayout {
    return new SetLayout(options);
  }

  get held(): readonly (readonly number[])[] {
    return this.#held.map((experts) => [...experts]);
  }

  get maxCost(): number {
    return Math.max(...this.#costs);
  }

  get meanCost(): number {
    return this.#costs.reduce((sum, cost) => sum + cost, 0) /
      this.#costs.length;
  }

  /** Experts on a rank that were not there before. */
  countNew(rank: number): number {
    let count = 0;
    for (const expert of this.#held[rank]!) {
      if (!this.#base[rank]!.has(expert)) count += 1;
    }
    return count;
  }

  /** The move that relieves the costliest rank most; `undefined` if none does. */
  findMove(mayCopyTo: (rank: number) => boolean): Move | undefined {
    const hot = this.#costs.indexOf(this.maxCost);
    let best: Move | undefined;
    let bound = this.#costs[hot]! * (1 - MIN_GAIN);
    for (const steps of this.#listMoves(hot, mayCopyTo)) {
      const worstCost = this.#tryMove(steps, bound);
      if (worstCost === undefined) continue;
      best = { steps, worstCost };
      bound = worstCost;
    }
    return best;
  }

  apply({ steps }: Move): void {
    const touched = this.#touchedBy(steps);
    for (const step of steps) this.#change(step);
    for (const rank of touched) this.#costs[rank] = this.#costOf(rank);
  }

  *#listMoves(
    hot: number,
    mayCopyTo: (rank: number) => boolean,
  ): Generator<readonly Step[]> {
    // Copies, since moves are tried on the sets themselves.
    for (const expert of [...this.#held[hot]!]) {
      if (this.#holders[expert]!.size > 1) {
        yield [{ rank: hot, added: undefined, dropped: expert }];
      }
      for (let rank = 0; rank < this.#held.length; rank++) {
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
  ): Generator<readonly Step[]> {
    if (this.#held[rank]!.size < this.#limits.placesPerRank) {
      const arrival = { rank, added: expert, dropped: undefined };
      yield [arrival];
      yield [arrival, { rank: hot, added: undefined, dropped: expert }];
    }
    for (const other of [...this.#held[rank]!]) {
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
    return this.countNew(rank) < this.#limits.newPerRank && mayCopyTo(rank);
  }

  /** The highest cost among the touched ranks, if it is below the bound. */
  #tryMove(steps: readonly Step[], bound: number): number | undefined {
    const touched = this.#touchedBy(steps);
    for (const step of steps) this.#change(step);
    let worst = 0;
    for (const rank of touched) {
      worst = Math.max(worst, this.#costOf(rank));
      if (worst >= bound) break;
    }
    for (let index = steps.length - 1; index >= 0; index--) {
      this.#undo(steps[index]!);
    }
    return worst < bound ? worst : undefined;
  }

  /** Ranks whose load changes: the steps' own and those that share experts. */
  #touchedBy(steps: readonly Step[]): ReadonlySet<number> {
    const touched = new Set<number>();
    for (const { rank, added, dropped } of steps) {
      touched.add(rank);
      for (const expert of [added, dropped]) {
        if (expert === undefined) continue;
        for (const holder of this.#holders[expert]!) touched.add(holder);
      }
    }
    return touched;
  }

  #change({ rank, added, dropped }: Step): void {
    if (dropped !== undefined) {
      this.#held[rank]!.delete(dropped);
      this.#holders[dropped]!.delete(rank);
    }
    if (added !== undefined) {
      this.#held[rank]!.add(added);
      this.#holders[added]!.add(rank);
    }
  }

  #undo({ rank, added, dropped }: Step): void {
    this.#change({ rank, added: dropped, dropped: added });
  }

  #costOf(rank: number): number {
    let load = 0;
    for (const expert of this.#held[rank]!) {
      load += this.#demand[expert]! / this.#holders[expert]!.size;
    }
    return load * (this.#paces[rank] ?? 1);
  }
}
