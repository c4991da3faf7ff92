/** The ledger's state, and what a step of it works with. */

import { DecidedNumbers } from "@dandelionbank/read-ticket";
import type { TrackEffect } from "./effects.ts";
import type { TrackOptions } from "./events.ts";
import { KeyResults } from "./key_results.ts";
import type { Attempt, Request } from "./request.ts";
import { RetryBudget } from "./retry_budget.ts";

/** Opaque to callers: only `step` reads and changes it. */
export interface TrackState {
  options: TrackOptions;
  readonly requests: Map<string, Request>;
  readonly attempts: Map<string, Attempt>;
  readonly callers: Map<string, Request>;
  readonly keys: KeyResults;
  readonly relays: Map<string, DecidedNumbers>;
  readonly budget: RetryBudget;
  /** How often each invariant was checked. */
  readonly checks: Map<string, number>;
  lastAttemptNumber: number;
  /** Until then no successor runs a key of this entry. */
  arbiterUntilMs: number;
  arbiterClosed: boolean;
  /** The latest time seen; it never goes back. */
  nowMs: number;
}

/** One step's working set. */
export interface TrackContext {
  readonly state: TrackState;
  readonly nowMs: number;
  readonly effects: TrackEffect[];
}

export function createTrackState(options: TrackOptions): TrackState {
  const { retryRatio, retryBurst } = options;
  return {
    options,
    requests: new Map(),
    attempts: new Map(),
    callers: new Map(),
    keys: KeyResults.create(options),
    relays: new Map(),
    budget: RetryBudget.create({ share: retryRatio, burst: retryBurst }),
    checks: new Map(),
    lastAttemptNumber: 0,
    arbiterUntilMs: -1,
    arbiterClosed: false,
    nowMs: 0,
  };
}

/** Whether no other entry can have run a key of this one by now. */
export function isSureArbiter(context: TrackContext): boolean {
  const { arbiterClosed, arbiterUntilMs } = context.state;
  return !arbiterClosed && context.nowMs < arbiterUntilMs;
}

export interface Check {
  readonly invariant: string;
  readonly holds: boolean;
  readonly detail: string;
}

/** Counts a check of an invariant and reports it if it does not hold. */
export function check(context: TrackContext, checked: Check): boolean {
  const { invariant, holds, detail } = checked;
  const { checks } = context.state;
  checks.set(invariant, (checks.get(invariant) ?? 0) + 1);
  if (!holds) context.effects.push({ type: "violation", invariant, detail });
  return holds;
}
