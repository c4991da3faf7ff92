/** The state of the agent's admission, and what a step of it works with. */

import type {
  AdmitEffect,
  AdmitOptions,
  FailureCode,
  RefusalCode,
  StopReason,
} from "./events.ts";
import { IncarnationTable } from "./incarnation_table.ts";
import { endOfTimeUnit, type KeyRecord, KeyTable } from "./key_table.ts";

/** Refusals after which the same target may take the work a while later. */
const WAITING_CODES: ReadonlySet<RefusalCode> = new Set([
  "suspectRunning",
  "tableFull",
  "targetBusy",
]);

/** One call that runs on the target. */
export interface RunningCall {
  readonly attemptId: string;
  readonly keyId: string;
  readonly record: KeyRecord;
  /** Whether the call may be cancelled and run again. */
  readonly idempotent: boolean;
  readonly keyed: boolean;
  /** Whether it may crash the target. */
  readonly suspect: boolean;
  readonly deadlineMs: number;
  readonly listeners: Set<string>;
  /** Since when nobody listens. */
  unheardSinceMs: number | undefined;
  cancelled: boolean;
}

/** Opaque to callers: only `step` reads and changes it. */
export interface AdmitState {
  readonly options: AdmitOptions;
  readonly incarnations: IncarnationTable;
  readonly keys: KeyTable;
  readonly running: Map<string, RunningCall>;
  readonly stopReasons: Set<StopReason>;
  /** How often each invariant was checked. */
  readonly checks: Map<string, number>;
  ready: boolean;
  drainedTold: boolean;
  /** The latest time seen; it never goes back. */
  nowMs: number;
}

/** One step's working set. */
export interface AdmitContext {
  readonly state: AdmitState;
  readonly nowMs: number;
  readonly effects: AdmitEffect[];
}

export function createAdmitState(options: AdmitOptions): AdmitState {
  return {
    options,
    incarnations: IncarnationTable.create(),
    keys: KeyTable.create(options),
    running: new Map(),
    stopReasons: new Set(),
    checks: new Map(),
    ready: false,
    drainedTold: false,
    nowMs: 0,
  };
}

export function refuse(
  context: AdmitContext,
  refusal: { readonly attemptId: string; readonly code: RefusalCode },
): void {
  const waits = WAITING_CODES.has(refusal.code);
  context.effects.push({
    type: "refuse",
    attemptId: refusal.attemptId,
    code: refusal.code,
    retryAfterMs: waits ? context.state.options.retryAfterMs : 0,
  });
}

export function fail(
  context: AdmitContext,
  failure: { readonly attemptId: string; readonly code: FailureCode },
): void {
  const { attemptId, code } = failure;
  context.effects.push({ type: "fail", attemptId, code });
}

/** Takes note of a record that left the table. */
export function forgetRecord(context: AdmitContext, record: KeyRecord): void {
  const { entry, home } = record;
  entry.forgottenNumber = Math.max(entry.forgottenNumber, record.number);
  if (home !== undefined) {
    home.forgottenIssuedAtMs = Math.max(
      home.forgottenIssuedAtMs,
      endOfTimeUnit(record.issuedAt),
    );
  }
  if (record.standing === "kept") {
    context.effects.push({ type: "evict", attemptId: attemptIdOf(record) });
  }
}

export function attemptIdOf(record: KeyRecord): string {
  return `${record.entry.incarnation}.${record.number}`;
}
