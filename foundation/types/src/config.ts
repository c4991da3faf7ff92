/** The configuration that operators write: one object, one version a change. */

import type { TargetKind } from "./target.ts";

/** A call of a plain service. */
export interface PlainRoute {
  readonly method: string;
  /** Prefix of the request's path. */
  readonly pathPrefix: string;
  /** Whether the call may run more than once. */
  readonly idempotent: boolean;
}

/** Targets that serve the same models or calls. */
export interface Pool {
  readonly name: string;
  readonly kind: TargetKind;
  readonly models: readonly string[];
  readonly routes: readonly PlainRoute[];
}

export interface Config {
  readonly pools: readonly Pool[];
  /** Longest time a planned stop waits for work in flight. */
  readonly drainTimeoutMs: number;
  /** Longest time a request may take, from its arrival. */
  readonly requestTimeoutMs: number;
  /** Longest silence of an attempt before its connection is replaced. */
  readonly progressTimeoutMs: number;
  /** Silence of a repeatable request after which a second attempt starts; 0 is never. */
  readonly hedgeAfterMs: number;
  readonly bodyLimitBytes: number;
  readonly ticketValidityMs: number;
  /** Names the placement policy: `powerOfTwo`, `leastRequests`, `roundRobin` or `random`. */
  readonly placement: string;
}
