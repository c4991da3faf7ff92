/**
 * Shares of a contract's limits and the messages by which entries exchange them.
 *
 * Each entry has a reserved share of every contract's limits. One entry, the
 * coordinator, collects the capacity that the others can spare and lends it, for
 * a limited time, to those that need more than their reserved share.
 */

/** An amount of each limit of a contract. */
export interface LimitShare {
  readonly requestsPerSecond: number;
  readonly concurrentRequests: number;
  readonly tokensPerMinute: number;
}

/** A share that is valid until a time of the holder's monotonic clock. */
export interface TimedShare {
  readonly share: LimitShare;
  readonly untilMs: number;
}

/** The shares of one contract's limits that an entry holds. */
export interface ShareHolding {
  /** The share reserved for this entry, regardless of which others are reachable. */
  readonly reserved: LimitShare;
  /** Parts of the reserved share that other entries may use until they expire. */
  readonly lent: readonly TimedShare[];
  /** Parts of other entries' reserved shares that this entry may use. */
  readonly borrowed: readonly TimedShare[];
}

/** A time of a coordinator's clock, meaningful to that coordinator only. */
export interface CoordinatorStamp {
  /** The coordinator's incarnation. */
  readonly incarnation: string;
  readonly atMs: number;
}

/** Offers the spare part of an entry's reserved share and asks for more. */
export interface AllowanceAsk {
  readonly type: "allowanceAsk";
  readonly organisation: string;
  readonly entry: string;
  readonly incarnation: string;
  /** Increases with each message of the entry's incarnation. */
  readonly sequence: number;
  /** Latest stamp received from this coordinator; without one, nothing is offered. */
  readonly stamp?: CoordinatorStamp;
  /** Sequence of the coordinator's answer in use; earlier answers are void. */
  readonly heardSequence: number;
  readonly offered: LimitShare;
  readonly wanted: LimitShare;
}

/**
 * Grants an entry capacity beyond its reserved share. Replaces every earlier
 * answer.
 */
export interface AllowanceAnswer {
  readonly type: "allowanceAnswer";
  readonly organisation: string;
  readonly coordinator: string;
  readonly stamp: CoordinatorStamp;
  /** Sequence of the ask; the entry counts the term from just before it sent it. */
  readonly sequence: number;
  readonly granted: LimitShare;
  readonly termMs: number;
  /** Whether some entry lacks capacity, so that offers are still needed. */
  readonly contended: boolean;
}

/** Asks an entry which part of its reserved share it can spare. */
export interface OfferRequest {
  readonly type: "offersWanted";
  readonly organisation: string;
  readonly coordinator: string;
  readonly stamp: CoordinatorStamp;
}

export type AllowanceMessage = AllowanceAsk | AllowanceAnswer | OfferRequest;
