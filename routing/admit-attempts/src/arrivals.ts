/** Handles arriving attempts and queries for attempts. */

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
  toDeciseconds,
} from "./key_table.ts";
import {
  type AdmitContext,
  attemptIdOf,
  failAttempt,
  recordEviction,
  refuseAttempt,
} from "./state.ts";

interface Arrival {
  readonly head: AttemptHead;
  readonly keyId: string;
  readonly number: number;
  readonly entry: IncarnationRecord;
  /** Whether the call has a key and is not idempotent. */
  readonly runsOnce: boolean;
  readonly suspect: boolean;
}

type AdmissionDecision =
  | { readonly kind: "run" }
  | { readonly kind: "repeat"; readonly record: KeyRecord }
  | { readonly kind: "refuse"; readonly code: RefusalCode }
  | { readonly kind: "fail"; readonly code: FailureCode };

export function handleAttemptArrived(
  context: AdmitContext,
  event: AttemptArrived,
): void {
  const { head } = event;
  const { attemptId } = head;
  const id = parseAttemptId(attemptId);
  const keyMissing = (head.key === undefined) !== (event.keyId === undefined);
  if (id?.entryIncarnation !== head.entryIncarnation || keyMissing) {
    return refuseAttempt(context, { attemptId, code: "badAttemptId" });
  }
  if (event.agentIncarnation !== context.state.options.incarnation) {
    return failAttempt(context, { attemptId, code: "wrongIncarnation" });
  }
  const arrival: Arrival = {
    head,
    keyId: event.keyId ?? createUnkeyedId(attemptId),
    number: id.number,
    entry: context.state.incarnations.getOrCreate(id.entryIncarnation),
    runsOnce: event.keyId !== undefined && !head.idempotent,
    suspect: event.suspect === true,
  };
  const decision = decideAdmission(context, arrival);
  if (decision.kind === "run") return startCheckedRun(context, arrival);
  const { entry, number } = arrival;
  entry.decided.add(number);
  switch (decision.kind) {
    case "repeat": {
      const { record } = decision;
      return answerFromRecord(context, { attemptId, record, entry, number });
    }
    case "refuse":
      return refuseAttempt(context, { attemptId, code: decision.code });
    case "fail":
      return failAttempt(context, { attemptId, code: decision.code });
  }
}

export function handleAttemptQueried(
  context: AdmitContext,
  event: AttemptQueried,
): void {
  const { attemptId } = event;
  const { state } = context;
  const id = parseAttemptId(attemptId);
  if (id === undefined) {
    return refuseAttempt(context, { attemptId, code: "badAttemptId" });
  }
  if (event.agentIncarnation !== state.options.incarnation) {
    return failAttempt(context, { attemptId, code: "wrongIncarnation" });
  }
  const record = state.keys.find(event.keyId ?? createUnkeyedId(attemptId));
  const entry = state.incarnations.getOrCreate(id.entryIncarnation);
  const { number } = id;
  if (record !== undefined && matchesFingerprint(record, event.fingerprint)) {
    if (wasRefusedBeforeRun(record, { entry, number })) {
      return refuseAttempt(context, { attemptId, code: "neverArrived" });
    }
    return answerFromRecord(context, { attemptId, record, entry, number });
  }
  if (entry.mayHaveEvicted(number)) {
    return failAttempt(context, { attemptId, code: "attemptForgotten" });
  }
  if (record !== undefined) {
    return refuseAttempt(context, { attemptId, code: "keyReused" });
  }
  entry.decided.add(number);
  refuseAttempt(context, { attemptId, code: "neverArrived" });
}

/**
 * Decides whether an arriving attempt runs. A refusal guarantees that the attempt
 * never ran and never will. If it, or an earlier one under its key, may have run,
 * it fails instead.
 */
function decideAdmission(
  context: AdmitContext,
  arrival: Arrival,
): AdmissionDecision {
  const { entry, head, keyId } = arrival;
  const record = context.state.keys.find(keyId);
  if (record !== undefined && matchesFingerprint(record, head.fingerprint)) {
    if (wasRefusedBeforeRun(record, arrival)) {
      return { kind: "refuse", code: "attemptSettled" };
    }
    if (entry.closed) return { kind: "fail", code: "incarnationClosed" };
    return { kind: "repeat", record };
  }
  if (entry.mayHaveEvicted(arrival.number)) {
    return { kind: "fail", code: "attemptForgotten" };
  }
  if (record !== undefined) return { kind: "refuse", code: "keyReused" };
  const code = findRefusal(context, arrival);
  return code === undefined ? { kind: "run" } : { kind: "refuse", code };
}

/** Returns whether an attempt was refused before another one ran under its key. */
function wasRefusedBeforeRun(
  record: KeyRecord,
  attempt: Pick<Arrival, "entry" | "number">,
): boolean {
  const { entry, number } = attempt;
  const ran = record.entry === entry && record.number === number;
  return !ran && entry.wasRefused(number);
}

/** Returns why an attempt with an unknown key must not run. */
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
  if (state.pause.readDelayMs(context.nowMs) > 0) return "targetPaused";
  if (state.running.size >= state.options.maxInFlight) return "targetBusy";
  if (arrival.suspect && isSuspectRunning(context)) return "suspectRunning";
  if (arrival.runsOnce && state.keys.isFull) return "tableFull";
  return undefined;
}

function isSuspectRunning(context: AdmitContext): boolean {
  for (const call of context.state.running.values()) {
    if (call.suspect) return true;
  }
  return false;
}

function startCheckedRun(context: AdmitContext, arrival: Arrival): void {
  const { attemptId } = arrival.head;
  const { keyId, number, entry, runsOnce } = arrival;
  const intended = { attemptId, keyId, number, entry, runsOnce };
  if (checkRun(context, intended)) startRun(context, arrival);
  else refuseAttempt(context, { attemptId, code: "invariantViolated" });
}

/** Answers an attempt from the record of its key, without running it. */
function answerFromRecord(
  context: AdmitContext,
  known: {
    readonly attemptId: string;
    readonly entry: IncarnationRecord;
    readonly number: number;
    readonly record: KeyRecord;
  },
): void {
  const { attemptId, record, entry, number } = known;
  const answeredBy = attemptIdOf(record);
  if (attemptId !== answeredBy) entry.joined.add(number);
  switch (record.standing) {
    case "running":
      return joinRun(context, { attemptId, answeredBy });
    case "kept":
      context.effects.push({ type: "replay", attemptId, answeredBy });
      return;
    case "dropped":
      return failAttempt(context, { attemptId, code: "answerNotKept" });
    case "failed":
      return failAttempt(context, { attemptId, code: "earlierAttemptFailed" });
  }
}

function joinRun(
  context: AdmitContext,
  joined: { readonly attemptId: string; readonly answeredBy: string },
): void {
  const call = context.state.running.get(joined.answeredBy);
  call?.listeners.add(joined.attemptId);
  if (call !== undefined) call.withoutListenersSinceMs = undefined;
  context.effects.push({ type: "join", ...joined });
}

function startRun(context: AdmitContext, arrival: Arrival): void {
  const { state, nowMs } = context;
  const { head, keyId, entry } = arrival;
  const record = createRecord(context, arrival);
  entry.decided.add(arrival.number);
  entry.ran.add(arrival.number);
  state.pause.recordStart(head.attemptId, nowMs);
  state.keys.add(keyId, { record, runsOnce: arrival.runsOnce });
  state.keys.trimEvictable((dropped) => recordEviction(context, dropped));
  state.running.set(head.attemptId, {
    attemptId: head.attemptId,
    keyId,
    record,
    idempotent: head.idempotent,
    suspect: arrival.suspect,
    keyed: head.key !== undefined,
    deadlineMs: nowMs + head.timeLeftMs,
    listeners: new Set([head.attemptId]),
    withoutListenersSinceMs: undefined,
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
    home: key && incarnations.getOrCreate(key.ticket.incarnation),
    issuedAtDs: toDeciseconds(key?.ticket.issuedAtMs ?? 0),
    fingerprintHigh: fingerprintPart(head.fingerprint, 0),
    fingerprintLow: fingerprintPart(head.fingerprint, 1),
    standing: "running",
    endedAtDs: 0,
    keptBytes: 0,
  };
}

function createUnkeyedId(attemptId: string): string {
  return `attempt ${attemptId}`;
}
