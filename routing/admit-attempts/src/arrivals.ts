/** What becomes of an attempt that arrives, or that an entry asks about. */

import type { AttemptHead } from "@dandelionbank/types";
import { parseAttemptId, parseRequestKey } from "@dandelionbank/read-ticket";
import { checkRun } from "./check_run.ts";
import type {
  AttemptArrived,
  AttemptQueried,
  FailureCode,
  RefusalCode,
} from "./events.ts";
import type { IncarnationRecord } from "./incarnation_table.ts";
import {
  fingerprintPart,
  type KeyRecord,
  matchesFingerprint,
  toTimeUnits,
} from "./key_table.ts";
import {
  type AdmitContext,
  attemptIdOf,
  fail,
  forgetRecord,
  refuse,
} from "./state.ts";

interface Arrival {
  readonly head: AttemptHead;
  readonly keyId: string;
  readonly number: number;
  readonly entry: IncarnationRecord;
  /** Whether it is a keyed call that may not be repeated. */
  readonly once: boolean;
  readonly suspect: boolean;
}

type Verdict =
  | { readonly kind: "run" }
  | { readonly kind: "repeat"; readonly record: KeyRecord }
  | { readonly kind: "refuse"; readonly code: RefusalCode }
  | { readonly kind: "fail"; readonly code: FailureCode };

export function arrive(context: AdmitContext, event: AttemptArrived): void {
  const { head } = event;
  const { attemptId } = head;
  const id = parseAttemptId(attemptId);
  const keyMissing = (head.key === undefined) !== (event.keyId === undefined);
  if (id?.entryIncarnation !== head.entryIncarnation || keyMissing) {
    return refuse(context, { attemptId, code: "badAttemptId" });
  }
  if (event.agentIncarnation !== context.state.options.incarnation) {
    return fail(context, { attemptId, code: "wrongIncarnation" });
  }
  const arrival: Arrival = {
    head,
    keyId: event.keyId ?? unkeyedId(attemptId),
    number: id.number,
    entry: context.state.incarnations.recordOf(id.entryIncarnation),
    once: event.keyId !== undefined && !head.idempotent,
    suspect: event.suspect === true,
  };
  const verdict = judge(context, arrival);
  if (verdict.kind === "run") return runChecked(context, arrival);
  const { entry, number } = arrival;
  entry.decided.add(number);
  switch (verdict.kind) {
    case "repeat": {
      const { record } = verdict;
      return repeat(context, { attemptId, record, entry, number });
    }
    case "refuse":
      return refuse(context, { attemptId, code: verdict.code });
    case "fail":
      return fail(context, { attemptId, code: verdict.code });
  }
}

export function ask(context: AdmitContext, event: AttemptQueried): void {
  const { attemptId } = event;
  const { state } = context;
  const id = parseAttemptId(attemptId);
  if (id === undefined) {
    return refuse(context, { attemptId, code: "badAttemptId" });
  }
  if (event.agentIncarnation !== state.options.incarnation) {
    return fail(context, { attemptId, code: "wrongIncarnation" });
  }
  const record = state.keys.find(event.keyId ?? unkeyedId(attemptId));
  const entry = state.incarnations.recordOf(id.entryIncarnation);
  const { number } = id;
  if (record !== undefined && matchesFingerprint(record, event.fingerprint)) {
    if (isRefusedBeside(record, { entry, number })) {
      return refuse(context, { attemptId, code: "neverArrived" });
    }
    return repeat(context, { attemptId, record, entry, number });
  }
  if (entry.mayHaveForgotten(number)) {
    return fail(context, { attemptId, code: "attemptForgotten" });
  }
  if (record !== undefined) {
    return refuse(context, { attemptId, code: "keyReused" });
  }
  entry.decided.add(number);
  refuse(context, { attemptId, code: "neverArrived" });
}

/**
 * The first rule that stands against the arrival. A refusal is the agent's
 * word that this attempt never ran and never will; where it, or another one
 * under its key before it, may have run, the attempt fails instead.
 */
function judge(context: AdmitContext, arrival: Arrival): Verdict {
  const { entry, head, keyId } = arrival;
  const record = context.state.keys.find(keyId);
  if (record !== undefined && matchesFingerprint(record, head.fingerprint)) {
    if (isRefusedBeside(record, arrival)) {
      return { kind: "refuse", code: "attemptSettled" };
    }
    if (entry.closed) return { kind: "fail", code: "incarnationClosed" };
    return { kind: "repeat", record };
  }
  if (entry.mayHaveForgotten(arrival.number)) {
    return { kind: "fail", code: "attemptForgotten" };
  }
  if (record !== undefined) return { kind: "refuse", code: "keyReused" };
  const code = findRefusal(context, arrival);
  return code === undefined ? { kind: "run" } : { kind: "refuse", code };
}

/** Whether an attempt was refused before another one ran under its key. */
function isRefusedBeside(
  record: KeyRecord,
  attempt: Pick<Arrival, "entry" | "number">,
): boolean {
  const { entry, number } = attempt;
  const ran = record.entry === entry && record.number === number;
  return !ran && entry.wasRefused(number);
}

/** Why an attempt with an unknown key is not run. */
function findRefusal(
  context: AdmitContext,
  arrival: Arrival,
): RefusalCode | undefined {
  const { state } = context;
  const { entry, head } = arrival;
  if (entry.closed) return "incarnationClosed";
  if (!state.ready) return "agentStarting";
  if (entry.decided.has(arrival.number)) return "attemptSettled";
  if (state.stopReasons.size > 0) return "agentStopping";
  if (head.timeLeftMs <= 0) return "tooLate";
  if (state.running.size >= state.options.maxInFlight) return "targetBusy";
  if (arrival.suspect && runsSuspect(context)) return "suspectRunning";
  if (arrival.once && state.keys.isFull) return "tableFull";
  return undefined;
}

function runsSuspect(context: AdmitContext): boolean {
  for (const call of context.state.running.values()) {
    if (call.suspect) return true;
  }
  return false;
}

function runChecked(context: AdmitContext, arrival: Arrival): void {
  const { attemptId } = arrival.head;
  const { keyId, number, entry, once } = arrival;
  const intended = { attemptId, keyId, number, entry, once };
  if (checkRun(context, intended)) run(context, arrival);
  else refuse(context, { attemptId, code: "invariantViolated" });
}

/** Answers from what is known of a key, and runs nothing. */
function repeat(
  context: AdmitContext,
  asked: {
    readonly attemptId: string;
    readonly entry: IncarnationRecord;
    readonly number: number;
    readonly record: KeyRecord;
  },
): void {
  const { attemptId, record, entry, number } = asked;
  const answeredBy = attemptIdOf(record);
  if (attemptId !== answeredBy) entry.joined.add(number);
  switch (record.standing) {
    case "running":
      return join(context, { attemptId, answeredBy });
    case "kept":
      context.effects.push({ type: "replay", attemptId, answeredBy });
      return;
    case "dropped":
      return fail(context, { attemptId, code: "answerNotKept" });
    case "failed":
      return fail(context, { attemptId, code: "earlierAttemptFailed" });
  }
}

function join(
  context: AdmitContext,
  joined: { readonly attemptId: string; readonly answeredBy: string },
): void {
  const call = context.state.running.get(joined.answeredBy);
  call?.listeners.add(joined.attemptId);
  if (call !== undefined) call.unheardSinceMs = undefined;
  context.effects.push({ type: "join", ...joined });
}

function run(context: AdmitContext, arrival: Arrival): void {
  const { state, nowMs } = context;
  const { head, keyId, entry } = arrival;
  const record = createRecord(context, arrival);
  entry.decided.add(arrival.number);
  entry.ran.add(arrival.number);
  state.keys.add(keyId, { record, once: arrival.once });
  state.keys.trimSpare((dropped) => forgetRecord(context, dropped));
  state.running.set(head.attemptId, {
    attemptId: head.attemptId,
    keyId,
    record,
    idempotent: head.idempotent,
    suspect: arrival.suspect,
    keyed: head.key !== undefined,
    deadlineMs: nowMs + head.timeLeftMs,
    listeners: new Set([head.attemptId]),
    unheardSinceMs: undefined,
    cancelled: false,
  });
  context.effects.push({ type: "run", attemptId: head.attemptId });
}

function createRecord(context: AdmitContext, arrival: Arrival): KeyRecord {
  const { head } = arrival;
  const key = head.key === undefined ? undefined : parseRequestKey(head.key);
  const { incarnations } = context.state;
  return {
    entry: arrival.entry,
    number: arrival.number,
    home: key && incarnations.recordOf(key.ticket.incarnation),
    issuedAt: toTimeUnits(key?.ticket.issuedAtMs ?? 0),
    fingerprintHigh: fingerprintPart(head.fingerprint, 0),
    fingerprintLow: fingerprintPart(head.fingerprint, 1),
    standing: "running",
    endedAt: 0,
    keptBytes: 0,
  };
}

function unkeyedId(attemptId: string): string {
  return `attempt ${attemptId}`;
}
