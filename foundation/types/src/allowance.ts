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
