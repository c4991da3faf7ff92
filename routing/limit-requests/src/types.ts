/** What the limiter is told and what it decides. */

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
  /** Tokens of the prompt and of the longest answer asked for; 0 for a plain call. */
  readonly estimatedTokens: number;
}

/** Told once for each admitted request, however it ended. */
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

/** The entries among which limits are divided. */
export interface EntriesChanged {
  readonly type: "entriesChanged";
  readonly entry: string;
  readonly entries: readonly string[];
}

/** What this entry holds of an organisation's limits, in place of an even part. */
export interface HoldingChanged {
  readonly type: "holdingChanged";
  readonly organisation: string;
  readonly holding: ShareHolding;
}

/** How many requests this entry may have in flight in a pool, if that is known. */
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

/** The request was not run; `retryAfterMs` says when there will be room. */
export interface RefuseRequest {
  readonly type: "refuse";
  readonly requestId: string;
  readonly code: LimitRefusalCode;
  readonly retryAfterMs: number;
}

/** At a tick: what an organisation's requests need here, for its shares. */
export interface DemandMeasured {
  readonly type: "demandMeasured";
  readonly organisation: string;
  readonly demand: LimitShare;
}

/** Becomes the log event `invariantViolated`. */
export interface LimitInvariantViolated {
  readonly type: "invariantViolated";
  readonly invariant: string;
  readonly detail: string;
}
