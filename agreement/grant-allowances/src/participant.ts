/**
 * A coordinator's record of one incarnation of one entry, for one organisation:
 * what the entry offers, for how long at least, and what it may be using of its
 * grants.
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
  /** Sequence of the ask that the grant answers. */
  readonly sequence: number;
}

export class Participant {
  readonly entry: string;
  #sequence = -1;
  #wanted = NO_SHARE;
  #wantedUntilMs = -Infinity;
  /** Oldest first; a smaller offer doesn't end an earlier, larger one. */
  #offers: readonly TimedShare[] = [];
  #grants: readonly Grant[] = [];

  private constructor(entry: string) {
    this.entry = entry;
  }

  static create(entry: string): Participant {
    return new Participant(entry);
  }

  /** Records an ask; returns false if a later one was already recorded. */
  recordAsk(
    ask: AllowanceAsk,
    { stampMs, nowMs }: {
      /** Time of the returned stamp, if this coordinator made it. */
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

  recordGrant(granted: TimedShare): void {
    const grant = { ...granted, sequence: this.#sequence };
    this.#grants = [...this.#grants, grant];
  }

  revokeLastGrant(): void {
    this.#grants = this.#grants.slice(0, -1);
  }

  wantedAt(nowMs: number): LimitShare {
    return nowMs < this.#wantedUntilMs ? this.#wanted : NO_SHARE;
  }

  /** Whether the entry has asked recently, so that it is expected to ask again. */
  isExchanging(nowMs: number): boolean {
    return nowMs < this.#wantedUntilMs;
  }

  /** The largest offer that binds the entry at least until `untilMs`. */
  offeredUntil(untilMs: number): LimitShare {
    return this.#offers
      .filter((offer) => offer.untilMs >= untilMs)
      .reduce((most, offer) => maxShares(most, offer.share), NO_SHARE);
  }

  offeredAt(nowMs: number): LimitShare {
    return findLargestUnexpired(this.#offers, nowMs);
  }

  /** The most that the entry may be using: the largest of its grants in force. */
  grantedAt(nowMs: number): LimitShare {
    return findLargestUnexpired(this.#grants, nowMs);
  }

  /** Removes what has expired; returns whether the record can be dropped. */
  removeExpired(nowMs: number): boolean {
    this.#offers = this.#offers.filter(({ untilMs }) => nowMs < untilMs);
    this.#grants = this.#grants.filter(({ untilMs, share }) =>
      nowMs < untilMs && !isEmptyShare(share)
    );
    return this.#offers.length === 0 && this.#grants.length === 0 &&
      nowMs >= this.#wantedUntilMs + OFFER_DURATION_MS;
  }
}

function findLargestUnexpired(
  shares: readonly TimedShare[],
  nowMs: number,
): LimitShare {
  return shares
    .filter((timed) => nowMs < timed.untilMs)
    .reduce((most, timed) => maxShares(most, timed.share), NO_SHARE);
}
