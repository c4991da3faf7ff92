/** What follows when a call ends, loses its listeners or runs out of time. */

import type { ListenerDisconnected, RunEnded, RunFailed } from "./events.ts";
import { countCheck, report } from "./check_run.ts";
import { type AdmitContext, forgetRecord, type RunningCall } from "./state.ts";

export function endRun(context: AdmitContext, event: RunEnded): void {
  const call = takeRunning(context, event.attemptId);
  if (call === undefined) return;
  const { keys } = context.state;
  const { record } = call;
  const fits = keys.reserve(
    event.answerBytes,
    (dropped) => forgetRecord(context, dropped),
  );
  record.keptBytes = fits ? event.answerBytes : 0;
  const standing = fits ? "kept" : "dropped";
  keys.end(record, { standing, nowMs: context.nowMs });
  if (!fits) {
    context.effects.push({ type: "evict", attemptId: call.attemptId });
  }
  checkTable(context);
}

export function failRun(context: AdmitContext, event: RunFailed): void {
  const call = takeRunning(context, event.attemptId);
  if (call === undefined) return;
  const { keys } = context.state;
  if (!event.mayHaveRun) return keys.remove(call.keyId);
  if (call.idempotent) {
    keys.remove(call.keyId);
    return forgetRecord(context, call.record);
  }
  keys.end(call.record, { standing: "failed", nowMs: context.nowMs });
}

export function leaveRun(
  context: AdmitContext,
  event: ListenerDisconnected,
): void {
  const call = context.state.running.get(event.answeredBy);
  if (call === undefined || !call.listeners.delete(event.attemptId)) return;
  if (call.listeners.size === 0) call.unheardSinceMs = context.nowMs;
}

export function passTime(context: AdmitContext): void {
  const { state, nowMs } = context;
  state.keys.expire(nowMs, (record) => forgetRecord(context, record));
  for (const call of state.running.values()) {
    if (call.cancelled || !isUnwanted(context, call)) continue;
    call.cancelled = true;
    context.effects.push({ type: "cancel", attemptId: call.attemptId });
  }
}

/** Tells once for each stop that nothing runs any longer. */
export function tellDrained(context: AdmitContext): void {
  const { state } = context;
  if (state.stopReasons.size === 0 || state.running.size > 0) return;
  if (state.drainedTold) return;
  state.drainedTold = true;
  context.effects.push({ type: "drained" });
}

/** A call that may not be repeated is never cut: its effect may be half done. */
function isUnwanted(context: AdmitContext, call: RunningCall): boolean {
  if (!call.idempotent) return false;
  if (context.nowMs >= call.deadlineMs) return true;
  const since = call.unheardSinceMs;
  if (since === undefined || call.keyed) return false;
  return context.nowMs - since >= context.state.options.lingerMs;
}

function takeRunning(
  context: AdmitContext,
  attemptId: string,
): RunningCall | undefined {
  const { running } = context.state;
  const call = running.get(attemptId);
  running.delete(attemptId);
  return call;
}

function checkTable(context: AdmitContext): void {
  const { keys, options } = context.state;
  countCheck(context, "keptBytesBounded");
  if (keys.keptBytes >= 0 && keys.keptBytes <= options.maxKeptBytes) return;
  report(context, {
    invariant: "keptBytesBounded",
    detail: `${keys.keptBytes} of ${options.maxKeptBytes}`,
  });
}
