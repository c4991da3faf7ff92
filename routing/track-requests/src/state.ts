/** State of the request tracker and the context of one step. */

import { DecidedNumbers } from "@dandelionbank/read-ticket";
import type { TrackEffect } from "./effects.ts";
import type { TrackOptions } from "./events.ts";
import { KeyResults } from "./key_results.ts";
import type { Attempt, Request } from "./request.ts";
import { RetryBudget } from "./retry_budget.ts";

/** Opaque: only `step` reads and changes it. */
export interface TrackState {
  options: TrackOptions;
  readonly requests: Map<string, Request>;
  readonly attempts: Map<string, Attempt>;
  readonly callers: Map<string, Request>;
  readonly keys: KeyResults;
  /** Attempt numbers of relayed requests already handled, by relaying incarnation. */
  readonly relays: Map<string, DecidedNumbers>;
  readonly budget: RetryBudget;
  /** Number of checks by invariant. */
  readonly checks: Map<string, number>;
  lastAttemptNumber: number;
  /** No successor runs one of this entry's keys before this time. */
  arbiterLeaseUntilMs: number;
  arbiterClosed: boolean;
  /** Latest time seen; never decreases. */
  nowMs: number;
}

/** Passed through the handlers of one step. */
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
    budget: RetryBudget.create({ ratio: retryRatio, burst: retryBurst }),
    checks: new Map(),
    lastAttemptNumber: 0,
    arbiterLeaseUntilMs: -1,
    arbiterClosed: false,
    nowMs: 0,
  };
}

/**
 * Returns whether this entry is still the only arbiter of its keys, so that no
 * successor can have run one of them.
 */
export function holdsArbiterLease(context: TrackContext): boolean {
  const { arbiterClosed, arbiterLeaseUntilMs } = context.state;
  return !arbiterClosed && context.nowMs < arbiterLeaseUntilMs;
}

export interface Check {
  readonly invariant: string;
  readonly holds: boolean;
  readonly detail: string;
}

/** Counts a check of an invariant and reports a violation if it fails. */
export function checkInvariant(context: TrackContext, checked: Check): boolean {
  const { invariant, holds, detail } = checked;
  const { checks } = context.state;
  checks.set(invariant, (checks.get(invariant) ?? 0) + 1);
  if (!holds) context.effects.push({ type: "violation", invariant, detail });
  return holds;
}
