/**
 * One contract as an entry holds it: its reserved share, what it has lent of
 * that, and what it has borrowed, each with its time on the entry's clock.
 */

import type {
  AllowanceAnswer,
  AllowanceAsk,
  CoordinatorStamp,
  LimitShare,
  ShareHolding,
  TimedShare,
} from "@dandelionbank/types";
import { CoordinatorChoice } from "./choose_coordinator.ts";
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

/** Part of the demand that is asked for, and that is kept from offers. */
const WANTED_FACTOR = 1.03;
const KEPT_FACTOR = 1.05;

interface ReceivedStamp extends CoordinatorStamp {
  /** Time of this entry's clock. */
  readonly receivedAtMs: number;
}

interface Loan extends TimedShare {
  readonly sequence: number;
}

export class HeldContract {
  readonly reserved: ReservedShare;
  readonly choice = CoordinatorChoice.create();
  readonly #lent = LentShares.create();
  /** By coordinator and incarnation. */
  readonly #loans = new Map<string, Loan>();
  readonly #stamps = new Map<string, ReceivedStamp>();
  readonly #sentAtMs = new Map<number, number>();
  demand: LimitShare = NO_SHARE;
  /** Set while offers are wanted of this entry. */
  contended = false;
  askedAtMs = -Infinity;
  #wasShort = false;

  private constructor(options: ReservedShareOptions) {
    this.reserved = ReservedShare.create(options);
  }

  static create(options: ReservedShareOptions): HeldContract {
    return new HeldContract(options);
  }

  /** What the entry lacks of its demand, not counting what it borrowed. */
  wantedAt(nowMs: number): LimitShare {
    const own = subtractShares(
      this.reserved.at(nowMs),
      this.#lent.lentAt(nowMs),
    );
    return roundDown(
      subtractShares(scaleShare(this.demand, WANTED_FACTOR), own),
    );
  }

  /** Whether the entry lacks something and didn't when it asked last. */
  isNewlyShort(nowMs: number): boolean {
    return !this.#wasShort && !isEmptyShare(this.wantedAt(nowMs));
  }

  /** Writes an ask and binds what it offers; the sequence must be new. */
  writeAsk(
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
    this.#forgetLapsed(nowMs);
    this.askedAtMs = nowMs;
    this.#sentAtMs.set(ask.sequence, nowMs);
    const received = this.#stamps.get(coordinator);
    const wanted = this.wantedAt(nowMs);
    this.#wasShort = !isEmptyShare(wanted);
    const head = { type: "allowanceAsk", ...ask, wanted } as const;
    if (received === undefined || !mayLend) {
      return { ...head, heardSequence: -1, offered: NO_SHARE };
    }
    const { receivedAtMs, ...stamp } = received;
    const lender = `${coordinator}/${stamp.incarnation}`;
    const offered = this.#spareFor(lender, nowMs);
    this.#lent.offer({ coordinator: lender }, {
      share: offered,
      untilMs: receivedAtMs + OFFER_DURATION_MS,
    });
    const heardSequence = this.#loans.get(lender)?.sequence ?? -1;
    return { ...head, stamp, heardSequence, offered };
  }

  noteStamp(
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
   * Takes the answer's loan in place of the one before. It may have been made
   * under larger limits; what exceeds the known ones is left unused.
   */
  takeAnswer(answer: AllowanceAnswer): "larger" | "smaller" | "late" {
    const { coordinator, stamp, sequence, termMs } = answer;
    const granted = minShares(answer.granted, this.reserved.limits);
    const sentAtMs = this.#sentAtMs.get(sequence);
    const lender = `${coordinator}/${stamp.incarnation}`;
    const before = this.#loans.get(lender);
    if (sentAtMs === undefined) return "late";
    if (before !== undefined && sequence <= before.sequence) return "late";
    const untilMs = sentAtMs + Math.min(termMs, LOAN_DURATION_MS);
    this.#loans.set(lender, { share: granted, untilMs, sequence });
    return isWithin(before?.share ?? NO_SHARE, granted) ? "larger" : "smaller";
  }

  /** Cuts loans down to what a lowered limit covers. */
  cutLoans(): void {
    for (const [lender, loan] of this.#loans) {
      const share = minShares(loan.share, this.reserved.limits);
      this.#loans.set(lender, { ...loan, share });
    }
  }

  holdingAt(nowMs: number): ShareHolding {
    return {
      reserved: this.reserved.at(nowMs),
      lent: this.#lent.listInForce(nowMs),
      borrowed: [...this.#loans.values()]
        .filter(({ share, untilMs }) => nowMs < untilMs && !isEmptyShare(share))
        .map(({ share, untilMs }) => ({ share, untilMs })),
    };
  }

  #spareFor(lender: string, nowMs: number): LimitShare {
    const bound = addShares(
      this.#lent.lentElsewhere(lender, nowMs),
      scaleShare(this.demand, KEPT_FACTOR),
    );
    return roundDown(subtractShares(this.reserved.at(nowMs), bound));
  }

  #forgetLapsed(nowMs: number): void {
    this.#lent.forgetLapsed(nowMs);
    for (const [sequence, sentAtMs] of this.#sentAtMs) {
      if (nowMs >= sentAtMs + LOAN_DURATION_MS) this.#sentAtMs.delete(sequence);
    }
    for (const [lender, loan] of this.#loans) {
      if (nowMs >= loan.untilMs + OFFER_DURATION_MS) this.#loans.delete(lender);
    }
  }
}
