/** Handles the end, the listeners and the timeouts of running calls. */

import type { ListenerDisconnected, RunEnded, RunFailed } from "./events.ts";
import { countCheck, reportViolation } from "./check_run.ts";
import {
  type AdmitContext,
  recordEviction,
  type RunningCall,
} from "./state.ts";

export function handleRunEnded(context: AdmitContext, event: RunEnded): void {
  const call = removeRunning(context, event.attemptId);
  if (call === undefined) return;
  const { keys } = context.state;
  const { record } = call;
  const fits = keys.reserve(
    event.answerBytes,
    (dropped) => recordEviction(context, dropped),
  );
  record.keptBytes = fits ? event.answerBytes : 0;
  const standing = fits ? "kept" : "dropped";
  keys.markEnded(record, { standing, nowMs: context.nowMs });
  if (!fits) {
    context.effects.push({ type: "evict", attemptId: call.attemptId });
  }
  checkKeptBytes(context);
}

export function handleRunFailed(context: AdmitContext, event: RunFailed): void {
  const call = removeRunning(context, event.attemptId);
  if (call === undefined) return;
  const { keys } = context.state;
  if (!event.mayHaveRun) return keys.remove(call.keyId);
  if (call.idempotent) {
    keys.remove(call.keyId);
    return recordEviction(context, call.record);
  }
  keys.markEnded(call.record, { standing: "failed", nowMs: context.nowMs });
}

export function handleListenerDisconnected(
  context: AdmitContext,
  event: ListenerDisconnected,
): void {
  const call = context.state.running.get(event.answeredBy);
  if (call === undefined || !call.listeners.delete(event.attemptId)) return;
  if (call.listeners.size === 0) call.withoutListenersSinceMs = context.nowMs;
}

export function handleTick(context: AdmitContext): void {
  const { state, nowMs } = context;
  state.keys.expire(nowMs, (record) => recordEviction(context, record));
  for (const call of state.running.values()) {
    if (call.cancelled || !shouldCancel(context, call)) continue;
    call.cancelled = true;
    context.effects.push({ type: "cancel", attemptId: call.attemptId });
  }
}

/** Reports once per stop that no call is running. */
export function reportDrained(context: AdmitContext): void {
  const { state } = context;
  if (state.stopReasons.size === 0 || state.running.size > 0) return;
  if (state.drainedReported) return;
  state.drainedReported = true;
  context.effects.push({ type: "drained" });
}

/**
 * Returns whether to cancel a call that passed its deadline or, without a key,
 * lost its listeners. Calls that are not idempotent are never cancelled, as their
 * effect may be half done.
 */
function shouldCancel(context: AdmitContext, call: RunningCall): boolean {
  if (!call.idempotent) return false;
  if (context.nowMs >= call.deadlineMs) return true;
  const since = call.withoutListenersSinceMs;
  if (since === undefined || call.keyed) return false;
  return context.nowMs - since >= context.state.options.lingerMs;
}

function removeRunning(
  context: AdmitContext,
  attemptId: string,
): RunningCall | undefined {
  const { running, pause } = context.state;
  const call = running.get(attemptId);
  running.delete(attemptId);
  pause.recordEnd(attemptId);
  return call;
}

function checkKeptBytes(context: AdmitContext): void {
  const { keys, options } = context.state;
  countCheck(context, "keptBytesBounded");
  if (keys.keptBytes >= 0 && keys.keptBytes <= options.maxKeptBytes) return;
  reportViolation(context, {
    invariant: "keptBytesBounded",
    detail: `${keys.keptBytes} of ${options.maxKeptBytes}`,
  });
}
