/**
 * An entry's reserved share while the list of entries changes. For a settling
 * time after a change the share is the smallest that any list still in use
 * somewhere gives, so that entries with different lists reserve no more than
 * the limits between them. A process that starts counts as listed nowhere
 * before: its name may belong to a predecessor that still runs or that has
 * lent its share.
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
  /** Longest time for which a replaced list may be in use somewhere. */
  readonly settleMs: number;
}

export class ReservedShare {
  readonly #options: ReservedShareOptions;
  #limits: LimitShare = NO_SHARE;
  #entries: readonly string[] = [];
  #settling: readonly SettlingList[] = [];
  #known: { readonly share: LimitShare; readonly untilMs: number } | undefined;

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
    this.#known = undefined;
  }

  setEntries(entries: readonly string[], nowMs: number): void {
    if (hasSameMembers(entries, this.#entries)) {
      this.#entries = entries;
      return;
    }
    const untilMs = nowMs + this.#options.settleMs;
    const replaced = { entries: this.#entries, untilMs };
    this.#settling = [...this.#settling, replaced];
    this.#entries = entries;
    this.#known = undefined;
  }

  at(nowMs: number): LimitShare {
    if (this.#known !== undefined && nowMs < this.#known.untilMs) {
      return this.#known.share;
    }
    this.#settling = this.#settling.filter(({ untilMs }) => nowMs < untilMs);
    const share = this.#settling
      .map(({ entries }) => this.#shareAmong(entries))
      .reduce(minShares, this.#shareAmong(this.#entries));
    const untilMs = Math.min(...this.#settling.map((list) => list.untilMs));
    this.#known = { share, untilMs };
    return share;
  }

  #shareAmong(entries: readonly string[]): LimitShare {
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
