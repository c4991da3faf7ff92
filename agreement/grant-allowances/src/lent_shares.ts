/**
 * The part of one organisation's reserved share that an entry has lent. An offer
 * binds the entry until it expires, whether or not the coordinator received it.
 * A coordinator uses only one of the offers made to it, so the largest unexpired
 * one counts. Offers to different coordinators, or to different incarnations of
 * one coordinator, may be used at the same time and are added up.
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
  /** Offers by coordinator and its incarnation. */
  readonly #offers = new Map<string, TimedShare[]>();

  private constructor() {}

  static create(): LentShares {
    return new LentShares();
  }

  recordOffer(
    recipient: { readonly coordinatorKey: string },
    offered: TimedShare,
  ): void {
    const offers = this.#offers.get(recipient.coordinatorKey) ?? [];
    const binding = offers.filter((offer) => offer.untilMs > offered.untilMs);
    const replaced = offers.filter((offer) =>
      offer.untilMs <= offered.untilMs &&
      !isEmptyShare(subtractShares(offer.share, offered.share))
    );
    this.#offers.set(recipient.coordinatorKey, [
      ...replaced,
      offered,
      ...binding,
    ]);
  }

  /** Sum of what is lent to all coordinator incarnations other than this one. */
  lentToOthers(coordinatorKey: string, nowMs: number): LimitShare {
    let sum = NO_SHARE;
    for (const [key, offers] of this.#offers) {
      if (key !== coordinatorKey) {
        sum = addShares(sum, findLargestUnexpired(offers, nowMs));
      }
    }
    return sum;
  }

  lentAt(nowMs: number): LimitShare {
    return this.lentToOthers("", nowMs);
  }

  /** Lists shares whose unexpired sum at any time is what is lent at that time. */
  listUnexpired(nowMs: number): readonly TimedShare[] {
    return [...this.#offers.values()].flatMap((offers) =>
      toIncrements(offers.filter((offer) => nowMs < offer.untilMs))
    );
  }

  removeExpired(nowMs: number): void {
    for (const [key, offers] of this.#offers) {
      const binding = offers.filter((offer) => nowMs < offer.untilMs);
      if (binding.length === 0) this.#offers.delete(key);
      else this.#offers.set(key, binding);
    }
  }
}

function findLargestUnexpired(
  offers: readonly TimedShare[],
  nowMs: number,
): LimitShare {
  return offers
    .filter((offer) => nowMs < offer.untilMs)
    .reduce((sum, offer) => maxShares(sum, offer.share), NO_SHARE);
}

/** Converts offers that count by their maximum to shares that count by their sum. */
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
