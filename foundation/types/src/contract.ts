/** An organisation's contract, from which every limit for it follows. */

/** What the organisation was promised, for 95 in 100 of its requests. */
export interface LatencyObjective {
  readonly firstTokenMs: number;
  readonly betweenTokensMs: number;
  readonly answeredMs: number;
}

/** One organisation's contract. */
export interface Contract {
  readonly organisation: string;
  /** SHA-256 digests, in hexadecimal, of the callers' keys. */
  readonly keyDigests: readonly string[];
  readonly requestsPerSecond: number;
  readonly concurrentRequests: number;
  readonly tokensPerMinute: number;
  /** Weight among organisations when capacity is short. */
  readonly shareWeight: number;
  /** From 0, the first to wait, to 9, the first to be served. */
  readonly priority: number;
  readonly objective: LatencyObjective;
}

/** An operator, who may change contracts and configuration. */
export interface Operator {
  readonly name: string;
  /** SHA-256 digests, in hexadecimal, of the operator's keys. */
  readonly keyDigests: readonly string[];
}
