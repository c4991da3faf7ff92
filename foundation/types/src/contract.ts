/** Contracts of organisations, which set all of their limits, and operators. */

/** Latencies promised to an organisation for 95 in 100 of its requests. */
export interface LatencyObjective {
  readonly firstTokenMs: number;
  readonly betweenTokensMs: number;
  readonly answeredMs: number;
}

/** The contract of one organisation. */
export interface Contract {
  readonly organisation: string;
  /** SHA-256 digests, in hexadecimal, of the callers' keys. */
  readonly keyDigests: readonly string[];
  readonly requestsPerSecond: number;
  readonly concurrentRequests: number;
  readonly tokensPerMinute: number;
  /** Weight of the organisation when capacity is shared out under overload. */
  readonly shareWeight: number;
  /** From 0, the lowest, to 9, served first. */
  readonly priority: number;
  readonly objective: LatencyObjective;
}

/** An operator, who may change contracts, configuration, stops and operators. */
export interface Operator {
  readonly name: string;
  /** SHA-256 digests, in hexadecimal, of the operator's keys. */
  readonly keyDigests: readonly string[];
}
