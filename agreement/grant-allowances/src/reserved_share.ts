/**
 * An entry's reserved share across changes of the list of entries. For a settling
 * time after a change, the share is the smallest one under any list that may
 * still be in use, so that the reserved shares of entries with different lists
 * don't exceed the limits. A new process is treated as previously unlisted, since
 * a predecessor of the same name may still run or may have lent its share.
 */

import type { LimitShare } from "@dandelionbank/types";
import { minShares, NO_SHARE } from "./limit_share.ts";
import { computeReservedShare } from "./compute_reserved_share.ts";

interface SettlingList {
  readonly entries: readonly string[];
  readonly untilMs: number;
}

export interface ReservedShareOptions {
  readonly organisation: string;
  readonly entry: string;
  /** Longest time for which any entry may still use a replaced list. */
  readonly settleMs: number;
}

export class ReservedShare {
  readonly #options: ReservedShareOptions;
  #limits: LimitShare = NO_SHARE;
  #entries: readonly string[] = [];
  #settlingLists: readonly SettlingList[] = [];
  #cached: { readonly share: LimitShare; readonly untilMs: number } | undefined;

  private constructor(options: ReservedShareOptions) {
    this.#options = options;
  }

  static create(options: ReservedShareOptions): ReservedShare {
    return new ReservedShare(options);
  }

  get limits(): LimitShare {
    return this.#limits;
  }

  get entries(): readonly string[] {
    return this.#entries;
  }

  setLimits(limits: LimitShare): void {
    this.#limits = limits;
    this.#cached = undefined;
  }

  setEntries(entries: readonly string[], nowMs: number): void {
    if (hasSameMembers(entries, this.#entries)) {
      this.#entries = entries;
      return;
    }
    const untilMs = nowMs + this.#options.settleMs;
    const replaced = { entries: this.#entries, untilMs };
    this.#settlingLists = [...this.#settlingLists, replaced];
    this.#entries = entries;
    this.#cached = undefined;
  }

  shareAt(nowMs: number): LimitShare {
    if (this.#cached !== undefined && nowMs < this.#cached.untilMs) {
      return this.#cached.share;
    }
    this.#settlingLists = this.#settlingLists.filter(({ untilMs }) =>
      nowMs < untilMs
    );
    const share = this.#settlingLists
      .map(({ entries }) => this.#computeShareAmong(entries))
      .reduce(minShares, this.#computeShareAmong(this.#entries));
    const untilMs = Math.min(
      ...this.#settlingLists.map((list) => list.untilMs),
    );
    this.#cached = { share, untilMs };
    return share;
  }

  #computeShareAmong(entries: readonly string[]): LimitShare {
    const { organisation, entry } = this.#options;
    return computeReservedShare(this.#limits, { organisation, entry, entries });
  }
}

function hasSameMembers(
  left: readonly string[],
  right: readonly string[],
): boolean {
  const members = new Set(left);
  return members.size === new Set(right).size &&
    right.every((name) => members.has(name));
}
