/**
 * A coordinator's books on one incarnation of one entry, for one
 * organisation: what it offers, for how long at least, and what it may be
 * using of what it was granted.
 */

import type {
  AllowanceAsk,
  LimitShare,
  TimedShare,
} from "@dandelionbank/types";
import { isEmptyShare, maxShares, NO_SHARE } from "./limit_share.ts";
import {
  LOAN_DURATION_MS,
  MAX_CLOCK_DRIFT_MS,
  OFFER_DURATION_MS,
} from "./timing.ts";

interface Grant extends TimedShare {
  /** Sequence of the ask that it answers. */
  readonly sequence: number;
}

export class Participant {
  readonly entry: string;
  #sequence = -1;
  #wanted = NO_SHARE;
  #wantedUntilMs = -Infinity;
  /** Oldest first; a lowered offer doesn't free what an earlier one bound. */
  #offers: readonly TimedShare[] = [];
  #grants: readonly Grant[] = [];

  private constructor(entry: string) {
    this.entry = entry;
  }

  static create(entry: string): Participant {
    return new Participant(entry);
  }

  /** Enters an ask; returns whether it is later than those before. */
  note(
    ask: AllowanceAsk,
    { stampMs, nowMs }: {
      /** The coordinator's stamp that came back, if it is its own. */
      readonly stampMs: number | undefined;
      readonly nowMs: number;
    },
  ): boolean {
    if (ask.sequence <= this.#sequence) return false;
    this.#sequence = ask.sequence;
    this.#wanted = ask.wanted;
    this.#wantedUntilMs = nowMs + LOAN_DURATION_MS;
    if (stampMs === undefined) return true;
    const untilMs = stampMs + OFFER_DURATION_MS - MAX_CLOCK_DRIFT_MS;
    this.#offers = [...this.#offers, { share: ask.offered, untilMs }];
    this.#grants = this.#grants.filter((grant) =>
      grant.sequence >= ask.heardSequence
    );
    return true;
  }

  grant(granted: TimedShare): void {
    const grant = { ...granted, sequence: this.#sequence };
    this.#grants = [...this.#grants, grant];
  }

  revokeLast(): void {
    this.#grants = this.#grants.slice(0, -1);
  }

  wantedAt(nowMs: number): LimitShare {
    return nowMs < this.#wantedUntilMs ? this.#wanted : NO_SHARE;
  }

  /** Whether the entry has asked so lately that it will again. */
  isExchanging(nowMs: number): boolean {
    return nowMs < this.#wantedUntilMs;
  }

  /** The most that the entry's offers bind it to until that time. */
  boundUntil(untilMs: number): LimitShare {
    return this.#offers
      .filter((offer) => offer.untilMs >= untilMs)
      .reduce((most, offer) => maxShares(most, offer.share), NO_SHARE);
  }

  boundAt(nowMs: number): LimitShare {
    return largestInForce(this.#offers, nowMs);
  }

  /** The most that the entry may be using; it uses one of its grants. */
  grantedAt(nowMs: number): LimitShare {
    return largestInForce(this.#grants, nowMs);
  }

  /** Drops what has lapsed; returns whether nothing is left. */
  forgetLapsed(nowMs: number): boolean {
    this.#offers = this.#offers.filter(({ untilMs }) => nowMs < untilMs);
    this.#grants = this.#grants.filter(({ untilMs, share }) =>
      nowMs < untilMs && !isEmptyShare(share)
    );
    return this.#offers.length === 0 && this.#grants.length === 0 &&
      nowMs >= this.#wantedUntilMs + OFFER_DURATION_MS;
  }
}

function largestInForce(
  shares: readonly TimedShare[],
  nowMs: number,
): LimitShare {
  return shares
    .filter((timed) => nowMs < timed.untilMs)
    .reduce((most, timed) => maxShares(most, timed.share), NO_SHARE);
}
