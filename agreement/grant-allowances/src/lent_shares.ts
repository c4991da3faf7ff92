/**
 * What an entry has lent of one organisation's reserved share. An offer binds
 * the entry until its time, whether or not its coordinator received it. Offers
 * to one coordinator replace each other there, so the largest still binding
 * counts; offers to different coordinators, or to different incarnations of
 * one, may all be used at once and count together.
 */

import type { LimitShare, TimedShare } from "@dandelionbank/types";
import {
  addShares,
  isEmptyShare,
  maxShares,
  NO_SHARE,
  subtractShares,
} from "./limit_share.ts";

export class LentShares {
  readonly #offers = new Map<string, TimedShare[]>();

  private constructor() {}

  static create(): LentShares {
    return new LentShares();
  }

  offer(lender: { readonly coordinator: string }, offered: TimedShare): void {
    const offers = this.#offers.get(lender.coordinator) ?? [];
    const binding = offers.filter((offer) => offer.untilMs > offered.untilMs);
    const replaced = offers.filter((offer) =>
      offer.untilMs <= offered.untilMs &&
      !isEmptyShare(subtractShares(offer.share, offered.share))
    );
    this.#offers.set(lender.coordinator, [...replaced, offered, ...binding]);
  }

  /** Bound to the named coordinator's incarnations other than this one. */
  lentElsewhere(coordinator: string, nowMs: number): LimitShare {
    let sum = NO_SHARE;
    for (const [name, offers] of this.#offers) {
      if (name !== coordinator) sum = addShares(sum, largest(offers, nowMs));
    }
    return sum;
  }

  lentAt(nowMs: number): LimitShare {
    return this.lentElsewhere("", nowMs);
  }

  /** The shares in force, so that their sum at any time is what is lent then. */
  listInForce(nowMs: number): readonly TimedShare[] {
    return [...this.#offers.values()].flatMap((offers) =>
      toIncrements(offers.filter((offer) => nowMs < offer.untilMs))
    );
  }

  forgetLapsed(nowMs: number): void {
    for (const [name, offers] of this.#offers) {
      const binding = offers.filter((offer) => nowMs < offer.untilMs);
      if (binding.length === 0) this.#offers.delete(name);
      else this.#offers.set(name, binding);
    }
  }
}

function largest(offers: readonly TimedShare[], nowMs: number): LimitShare {
  return offers
    .filter((offer) => nowMs < offer.untilMs)
    .reduce((sum, offer) => maxShares(sum, offer.share), NO_SHARE);
}

/** Splits a maximum over time into a sum over time, the latest offer first. */
function toIncrements(offers: readonly TimedShare[]): readonly TimedShare[] {
  const latestFirst = [...offers].sort((a, b) => b.untilMs - a.untilMs);
  const increments: TimedShare[] = [];
  let covered = NO_SHARE;
  for (const { share, untilMs } of latestFirst) {
    const increment = subtractShares(share, covered);
    covered = maxShares(covered, share);
    if (!isEmptyShare(increment)) {
      increments.push({ share: increment, untilMs });
    }
  }
  return increments;
}
