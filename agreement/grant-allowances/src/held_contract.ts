/**
 * An entry's share of one contract: its reserved share, what it has lent of that
 * and what it has borrowed. All times are of the entry's own clock.
 */

import type {
  AllowanceAnswer,
  AllowanceAsk,
  CoordinatorStamp,
  LimitShare,
  ShareHolding,
  TimedShare,
} from "@dandelionbank/types";
import { CoordinatorSelector } from "./coordinator_selector.ts";
import { LentShares } from "./lent_shares.ts";
import {
  addShares,
  isEmptyShare,
  isWithin,
  minShares,
  NO_SHARE,
  roundDown,
  scaleShare,
  subtractShares,
} from "./limit_share.ts";
import { ReservedShare } from "./reserved_share.ts";
import type { ReservedShareOptions } from "./reserved_share.ts";
import { LOAN_DURATION_MS, OFFER_DURATION_MS } from "./timing.ts";

/** Factors on the measured demand: what an entry asks for, and what it doesn't offer. */
const REQUESTED_DEMAND_FACTOR = 1.03;
const RETAINED_DEMAND_FACTOR = 1.05;

interface ReceivedStamp extends CoordinatorStamp {
  /** Time of receipt on this entry's clock. */
  readonly receivedAtMs: number;
}

interface Loan extends TimedShare {
  readonly sequence: number;
}

export class HeldContract {
  readonly reserved: ReservedShare;
  readonly coordinatorSelector = CoordinatorSelector.create();
  readonly #lent = LentShares.create();
  /** By coordinator and incarnation. */
  readonly #loans = new Map<string, Loan>();
  readonly #stamps = new Map<string, ReceivedStamp>();
  readonly #sentAtMs = new Map<number, number>();
  demand: LimitShare = NO_SHARE;
  /** Whether the coordinator currently wants offers of this entry. */
  contended = false;
  askedAtMs = -Infinity;
  #hadUnmetDemand = false;

  private constructor(options: ReservedShareOptions) {
    this.reserved = ReservedShare.create(options);
  }

  static create(options: ReservedShareOptions): HeldContract {
    return new HeldContract(options);
  }

  /** Demand beyond the entry's own share; what it has borrowed is not counted. */
  wantedAt(nowMs: number): LimitShare {
    const own = subtractShares(
      this.reserved.shareAt(nowMs),
      this.#lent.lentAt(nowMs),
    );
    return roundDown(
      subtractShares(scaleShare(this.demand, REQUESTED_DEMAND_FACTOR), own),
    );
  }

  /** Whether the entry needs more than its share and did not at its last ask. */
  hasNewUnmetDemand(nowMs: number): boolean {
    return !this.#hadUnmetDemand && !isEmptyShare(this.wantedAt(nowMs));
  }

  /** Creates an ask and commits to the offer in it; the sequence must be new. */
  createAsk(
    ask: Pick<
      AllowanceAsk,
      "organisation" | "entry" | "incarnation" | "sequence"
    >,
    { coordinator, mayLend, nowMs }: {
      readonly coordinator: string;
      readonly mayLend: boolean;
      readonly nowMs: number;
    },
  ): AllowanceAsk {
    this.#removeExpired(nowMs);
    this.askedAtMs = nowMs;
    this.#sentAtMs.set(ask.sequence, nowMs);
    const received = this.#stamps.get(coordinator);
    const wanted = this.wantedAt(nowMs);
    this.#hadUnmetDemand = !isEmptyShare(wanted);
    const head = { type: "allowanceAsk", ...ask, wanted } as const;
    if (received === undefined || !mayLend) {
      return { ...head, heardSequence: -1, offered: NO_SHARE };
    }
    const { receivedAtMs, ...stamp } = received;
    const coordinatorKey = `${coordinator}/${stamp.incarnation}`;
    const offered = this.#computeSpareShare(coordinatorKey, nowMs);
    this.#lent.recordOffer({ coordinatorKey }, {
      share: offered,
      untilMs: receivedAtMs + OFFER_DURATION_MS,
    });
    const heardSequence = this.#loans.get(coordinatorKey)?.sequence ?? -1;
    return { ...head, stamp, heardSequence, offered };
  }

  recordStamp(
    coordinator: string,
    { stamp, nowMs }: {
      readonly stamp: CoordinatorStamp;
      readonly nowMs: number;
    },
  ): void {
    const known = this.#stamps.get(coordinator);
    const isOlder = known?.incarnation === stamp.incarnation &&
      known.atMs >= stamp.atMs;
    if (isOlder) return;
    this.#stamps.set(coordinator, { ...stamp, receivedAtMs: nowMs });
  }

  /**
   * Replaces the previous loan by that of the answer. It may have been granted
   * under higher limits; the part above the known limits is left unused.
   * Returns how the loan changed: `larger` includes an equal one, and `late` means
   * that the answer was ignored: a later one was applied, or its ask has expired.
   */
  applyAnswer(answer: AllowanceAnswer): "larger" | "smaller" | "late" {
    const { coordinator, stamp, sequence, termMs } = answer;
    const granted = minShares(answer.granted, this.reserved.limits);
    const sentAtMs = this.#sentAtMs.get(sequence);
    const coordinatorKey = `${coordinator}/${stamp.incarnation}`;
    const previous = this.#loans.get(coordinatorKey);
    if (sentAtMs === undefined) return "late";
    if (previous !== undefined && sequence <= previous.sequence) return "late";
    const untilMs = sentAtMs + Math.min(termMs, LOAN_DURATION_MS);
    this.#loans.set(coordinatorKey, { share: granted, untilMs, sequence });
    return isWithin(previous?.share ?? NO_SHARE, granted)
      ? "larger"
      : "smaller";
  }

  /** Reduces loans to the current limits. */
  limitLoans(): void {
    for (const [coordinatorKey, loan] of this.#loans) {
      const share = minShares(loan.share, this.reserved.limits);
      this.#loans.set(coordinatorKey, { ...loan, share });
    }
  }

  holdingAt(nowMs: number): ShareHolding {
    return {
      reserved: this.reserved.shareAt(nowMs),
      lent: this.#lent.listUnexpired(nowMs),
      borrowed: [...this.#loans.values()]
        .filter(({ share, untilMs }) => nowMs < untilMs && !isEmptyShare(share))
        .map(({ share, untilMs }) => ({ share, untilMs })),
    };
  }

  #computeSpareShare(coordinatorKey: string, nowMs: number): LimitShare {
    const unavailable = addShares(
      this.#lent.lentToOthers(coordinatorKey, nowMs),
      scaleShare(this.demand, RETAINED_DEMAND_FACTOR),
    );
    return roundDown(subtractShares(this.reserved.shareAt(nowMs), unavailable));
  }

  #removeExpired(nowMs: number): void {
    this.#lent.removeExpired(nowMs);
    for (const [sequence, sentAtMs] of this.#sentAtMs) {
      if (nowMs >= sentAtMs + LOAN_DURATION_MS) this.#sentAtMs.delete(sequence);
    }
    for (const [coordinatorKey, loan] of this.#loans) {
      if (nowMs >= loan.untilMs + OFFER_DURATION_MS) {
        this.#loans.delete(coordinatorKey);
      }
    }
  }
}
