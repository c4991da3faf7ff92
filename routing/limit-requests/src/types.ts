/** Events and effects of the request limiter. */

import type { Contract, LimitShare, ShareHolding } from "@dandelionbank/types";

export type LimitEvent =
  | RequestArrived
  | RequestEnded
  | ContractChanged
  | ContractRemoved
  | EntriesChanged
  | HoldingChanged
  | CapacityChanged
  | LimitTick;

export interface RequestArrived {
  readonly type: "requestArrived";
  readonly requestId: string;
  readonly organisation: string;
  readonly pool: string;
  /** Tokens of the prompt and of the longest answer; 0 for a plain call. */
  readonly estimatedTokens: number;
}

/** An admitted request has ended, with any outcome; sent once per request. */
export interface RequestEnded {
  readonly type: "requestEnded";
  readonly requestId: string;
  readonly actualTokens: number;
}

export interface ContractChanged {
  readonly type: "contractChanged";
  readonly contract: Contract;
}

export interface ContractRemoved {
  readonly type: "contractRemoved";
  readonly organisation: string;
}

/** The entries among which the limits are divided. */
export interface EntriesChanged {
  readonly type: "entriesChanged";
  readonly entry: string;
  readonly entries: readonly string[];
}

/** This entry's part of an organisation's limits; replaces the even share. */
export interface HoldingChanged {
  readonly type: "holdingChanged";
  readonly organisation: string;
  readonly holding: ShareHolding;
}

/** Maximum requests of this entry in flight in a pool; `undefined` if unknown. */
export interface CapacityChanged {
  readonly type: "capacityChanged";
  readonly pool: string;
  readonly concurrentRequests: number | undefined;
}

export interface LimitTick {
  readonly type: "tick";
}

export type LimitEffect =
  | AdmitRequest
  | RefuseRequest
  | DemandMeasured
  | LimitInvariantViolated;

export interface AdmitRequest {
  readonly type: "admit";
  readonly requestId: string;
}

export type LimitRefusalCode =
  | "DANDELIONBANK_ORGANISATION_UNKNOWN"
  | "DANDELIONBANK_RATE_LIMITED"
  | "DANDELIONBANK_CONCURRENCY_LIMITED"
  | "DANDELIONBANK_TOKENS_LIMITED"
  | "DANDELIONBANK_OVERLOADED";

/** The request was not run; capacity is expected after `retryAfterMs`. */
export interface RefuseRequest {
  readonly type: "refuse";
  readonly requestId: string;
  readonly code: LimitRefusalCode;
  readonly retryAfterMs: number;
}

/** Demand of an organisation at this entry; sent at ticks to divide the limits. */
export interface DemandMeasured {
  readonly type: "demandMeasured";
  readonly organisation: string;
  readonly demand: LimitShare;
}

/** Logged as `invariantViolated`. */
export interface LimitInvariantViolated {
  readonly type: "invariantViolated";
  readonly invariant: string;
  readonly detail: string;
}
