/** Parts of a contract's limits, as entries hold and lend them. */

/** An amount of each limit of a contract. */
export interface LimitShare {
  readonly requestsPerSecond: number;
  readonly concurrentRequests: number;
  readonly tokensPerMinute: number;
}

/** A share that counts until a time of the holder's monotonic clock. */
export interface TimedShare {
  readonly share: LimitShare;
  readonly untilMs: number;
}

/** What an entry holds of one contract's limits. */
export interface ShareHolding {
  /** The share reserved for this entry, whoever else is reachable. */
  readonly reserved: LimitShare;
  /** Parts of the reserved share that others may use until their time. */
  readonly lent: readonly TimedShare[];
  /** Parts of others' reserved shares that this entry may use. */
  readonly borrowed: readonly TimedShare[];
}

/** A time of a coordinator's clock, which only that coordinator can read. */
export interface CoordinatorStamp {
  /** The coordinator's incarnation. */
  readonly incarnation: string;
  readonly atMs: number;
}

/** An entry offers what it can spare of its reserved share and asks for more. */
export interface AllowanceAsk {
  readonly type: "allowanceAsk";
  readonly organisation: string;
  readonly entry: string;
  readonly incarnation: string;
  /** Rises with each message of the entry's incarnation. */
  readonly sequence: number;
  /** The latest stamp of this coordinator; without one, nothing is offered. */
  readonly stamp?: CoordinatorStamp;
  /** Sequence of this coordinator's answer in use; every earlier one is not. */
  readonly heardSequence: number;
  readonly offered: LimitShare;
  readonly wanted: LimitShare;
}

/** What the entry may use besides its own, in place of any earlier answer. */
export interface AllowanceAnswer {
  readonly type: "allowanceAnswer";
  readonly organisation: string;
  readonly coordinator: string;
  readonly stamp: CoordinatorStamp;
  /** Sequence of the ask; the term counts from before it was sent. */
  readonly sequence: number;
  readonly granted: LimitShare;
  readonly termMs: number;
  /** Whether some entry is short, so that offers are still wanted. */
  readonly contended: boolean;
}

/** A coordinator asks an entry what it can spare. */
export interface OfferRequest {
  readonly type: "offersWanted";
  readonly organisation: string;
  readonly coordinator: string;
  readonly stamp: CoordinatorStamp;
}

export type AllowanceMessage = AllowanceAsk | AllowanceAnswer | OfferRequest;
