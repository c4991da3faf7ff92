/** State of the admission and the context of one step. */

import type {
  AdmitEffect,
  AdmitOptions,
  FailureCode,
  RefusalCode,
  StopReason,
} from "./events.ts";
import { IncarnationTable } from "./incarnation_table.ts";
import { type KeyRecord, KeyTable, lastMillisecondOf } from "./key_table.ts";
import { TargetPause } from "./target_pause.ts";

/** Refusals after which a retry at the same target may succeed. */
const RETRYABLE_CODES: ReadonlySet<RefusalCode> = new Set([
  "suspectRunning",
  "tableFull",
  "targetBusy",
]);

/** A call that is running on the target. */
export interface RunningCall {
  readonly attemptId: string;
  /** ID of the request key, or one made from the attempt's ID if there is no key. */
  readonly keyId: string;
  readonly record: KeyRecord;
  /** Whether the call may be cancelled and run again. */
  readonly idempotent: boolean;
  /** Whether the call has a request key. If so, it runs on without listeners. */
  readonly keyed: boolean;
  /** Whether the call is suspected of crashing its target. */
  readonly suspect: boolean;
  readonly deadlineMs: number;
  readonly listeners: Set<string>;
  /** When the last listener disconnected; `undefined` while there is one. */
  withoutListenersSinceMs: number | undefined;
  cancelled: boolean;
}

/** Opaque: only `step` reads and changes it. */
export interface AdmitState {
  readonly options: AdmitOptions;
  readonly incarnations: IncarnationTable;
  readonly keys: KeyTable;
  readonly running: Map<string, RunningCall>;
  readonly stopReasons: Set<StopReason>;
  readonly pause: TargetPause;
  /** Number of checks by invariant. */
  readonly checks: Map<string, number>;
  /** Whether the closings have been read, before which no attempt is admitted. */
  ready: boolean;
  drainedReported: boolean;
  /** Latest time seen; never decreases. */
  nowMs: number;
}

/** Passed through the handlers of one step. */
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
    pause: TargetPause.create(),
    checks: new Map(),
    ready: false,
    drainedReported: false,
    nowMs: 0,
  };
}

export function refuseAttempt(
  context: AdmitContext,
  refusal: { readonly attemptId: string; readonly code: RefusalCode },
): void {
  const { attemptId, code } = refusal;
  const retryAfterMs = computeRetryAfterMs(context, code);
  context.effects.push({ type: "refuse", attemptId, code, retryAfterMs });
}

function computeRetryAfterMs(
  { state, nowMs }: AdmitContext,
  code: RefusalCode,
): number {
  if (code === "targetPaused") return state.pause.readDelayMs(nowMs);
  return RETRYABLE_CODES.has(code) ? state.options.retryAfterMs : 0;
}

export function failAttempt(
  context: AdmitContext,
  failure: { readonly attemptId: string; readonly code: FailureCode },
): void {
  const { attemptId, code } = failure;
  context.effects.push({ type: "fail", attemptId, code });
}

/** Updates the eviction bounds for a record that left the table. */
export function recordEviction(context: AdmitContext, record: KeyRecord): void {
  const { entry, home } = record;
  entry.evictedUpToNumber = Math.max(entry.evictedUpToNumber, record.number);
  if (home !== undefined) {
    home.forgottenIssuedAtMs = Math.max(
      home.forgottenIssuedAtMs,
      lastMillisecondOf(record.issuedAtDs),
    );
  }
  if (record.standing === "kept") {
    context.effects.push({ type: "evict", attemptId: attemptIdOf(record) });
  }
}

export function attemptIdOf(record: KeyRecord): string {
  return `${record.entry.incarnation}.${record.number}`;
}
