/**
 * The configuration that operators write. It is one object, and each change
 * makes a new revision of it.
 */

import type { TargetKind } from "./target.ts";

/** The calls of a plain service that have one method and path prefix. */
export interface PlainRoute {
  readonly method: string;
  /** Prefix of the request's path. */
  readonly pathPrefix: string;
  /** Whether a call may safely run more than once. */
  readonly idempotent: boolean;
}

/** A set of targets that serve the same models or calls. */
export interface Pool {
  readonly name: string;
  readonly kind: TargetKind;
  readonly models: readonly string[];
  readonly routes: readonly PlainRoute[];
}

export interface Config {
  readonly pools: readonly Pool[];
  /** Longest time that a planned stop waits for requests in flight. */
  readonly drainTimeoutMs: number;
  /** Longest duration of a request, counted from its arrival. */
  readonly requestTimeoutMs: number;
  /** Longest time without a frame of an attempt before its connection is replaced. */
  readonly progressTimeoutMs: number;
  /**
   * Time without an answer after which an idempotent request gets a second
   * attempt; 0 disables this.
   */
  readonly hedgeAfterMs: number;
  readonly bodyLimitBytes: number;
  readonly ticketValidityMs: number;
  /** Placement policy: `powerOfTwo`, `leastRequests`, `roundRobin` or `random`. */
  readonly placement: string;
}
