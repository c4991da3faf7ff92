/**
 * Checks the invariants of every run just before it starts, independently of the
 * admission rules.
 */

import type { IncarnationRecord } from "./incarnation_table.ts";
import type { AdmitContext } from "./state.ts";

export interface IntendedRun {
  readonly attemptId: string;
  readonly keyId: string;
  readonly number: number;
  readonly entry: IncarnationRecord;
  /** Whether the call has a key and is not idempotent. */
  readonly runsOnce: boolean;
}

/** Returns whether the call may run; if not, reports the violations. */
export function checkRun(context: AdmitContext, run: IntendedRun): boolean {
  const { state } = context;
  const { maxInFlight, maxKeys } = state.options;
  const rules: readonly (readonly [string, boolean])[] = [
    ["attemptDecidedOnce", !run.entry.decided.has(run.number)],
    ["keyRunsOnce", state.keys.find(run.keyId) === undefined],
    ["closedIncarnationStaysOut", !run.entry.closed],
    ["nothingBeforeClosingsRead", state.ready],
    ["nothingNewWhileStopping", state.stopReasons.size === 0],
    ["inFlightBounded", state.running.size < maxInFlight],
    ["keysBounded", !run.runsOnce || state.keys.runsOnceCount < maxKeys],
  ];
  let holds = true;
  for (const [invariant, held] of rules) {
    countCheck(context, invariant);
    if (held) continue;
    holds = false;
    reportViolation(context, { invariant, detail: `run ${run.attemptId}` });
  }
  return holds;
}

export function countCheck(context: AdmitContext, invariant: string): void {
  const { checks } = context.state;
  checks.set(invariant, (checks.get(invariant) ?? 0) + 1);
}

export function reportViolation(
  context: AdmitContext,
  violation: { readonly invariant: string; readonly detail: string },
): void {
  context.effects.push({ type: "violation", ...violation });
}
