/**
 * The last check before a call runs, apart from the rules of admission: what
 * must hold of every run, whatever the rules say.
 */

import type { IncarnationRecord } from "./incarnation_table.ts";
import type { AdmitContext } from "./state.ts";

export interface IntendedRun {
  readonly attemptId: string;
  readonly keyId: string;
  readonly number: number;
  readonly entry: IncarnationRecord;
  /** Whether it is a keyed call that may not be repeated. */
  readonly once: boolean;
}

/** Whether the call may run; if not, the effects hold the violations. */
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
    ["keysBounded", !run.once || state.keys.onceCount < maxKeys],
  ];
  let holds = true;
  for (const [invariant, held] of rules) {
    countCheck(context, invariant);
    if (held) continue;
    holds = false;
    report(context, { invariant, detail: `run ${run.attemptId}` });
  }
  return holds;
}

export function countCheck(context: AdmitContext, invariant: string): void {
  const { checks } = context.state;
  checks.set(invariant, (checks.get(invariant) ?? 0) + 1);
}

export function report(
  context: AdmitContext,
  violation: { readonly invariant: string; readonly detail: string },
): void {
  context.effects.push({ type: "violation", ...violation });
}
