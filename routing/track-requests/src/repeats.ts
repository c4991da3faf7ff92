/** Handles requests whose key is already in the key table. */

import { addCaller, replayAnswer } from "./callers.ts";
import type { SendOutcome } from "./effects.ts";
import type { IncomingRequest } from "./events.ts";
import type { KeyResult } from "./key_results.ts";
import { createNotRun } from "./not_run.ts";
import type { Request } from "./request.ts";
import {
  checkInvariant,
  holdsArbiterLease,
  type TrackContext,
} from "./state.ts";

export interface Repeat {
  readonly callerId: string;
  readonly info: IncomingRequest;
  readonly keyId: string;
}

/**
 * Joins the active request of the key or replays its result. Returns false if
 * the key is not in the table or its request may run again.
 */
export function handleRepeatedKey(
  context: TrackContext,
  repeat: Repeat,
): boolean {
  const { keys } = context.state;
  const active = keys.findActive(repeat.keyId);
  if (active !== undefined) {
    joinRequest(context, { repeat, request: active });
    return true;
  }
  const result = keys.findResult(repeat.keyId);
  if (result === undefined) return false;
  return replayResult(context, { repeat, result });
}

function joinRequest(
  context: TrackContext,
  joined: { readonly repeat: Repeat; readonly request: Request },
): void {
  const { repeat, request } = joined;
  if (!isSameRequest(context, { repeat, known: request.info })) {
    return rejectReusedKey(context, { repeat, known: request });
  }
  const deadlineMs = context.nowMs + repeat.info.timeLeftMs;
  request.deadlineMs = request.background
    ? deadlineMs
    : Math.max(request.deadlineMs, deadlineMs);
  request.background = false;
  addCaller(context, { request, callerId: repeat.callerId });
}

function replayResult(
  context: TrackContext,
  repeated: { readonly repeat: Repeat; readonly result: KeyResult },
): boolean {
  const { repeat, result } = repeated;
  const { callerId } = repeat;
  if (!isSameRequest(context, { repeat, known: result })) {
    rejectReusedKey(context, { repeat, known: result });
    return true;
  }
  const { answer, outcome } = result;
  if (answer !== undefined) {
    replayAnswer(context, { callerId, answer });
    return true;
  }
  if (result.idempotent) return false;
  const notKept = { kind: "failed", code: "answerNotKept" } as const;
  sendOutcomeToRepeat(context, { repeat, outcome: outcome ?? notKept });
  return true;
}

function isSameRequest(
  context: TrackContext,
  compared: {
    readonly repeat: Repeat;
    readonly known: Pick<KeyResult, "organisation" | "fingerprint">;
  },
): boolean {
  const { repeat, known } = compared;
  const isSameOrganisation = checkInvariant(context, {
    invariant: "answerStaysInOrganisation",
    holds: repeat.info.organisation === known.organisation,
    detail: repeat.info.requestId,
  });
  return isSameOrganisation && repeat.info.fingerprint === known.fingerprint;
}

/** Rejects a request whose key belongs to another one, without dispatching it. */
function rejectReusedKey(
  context: TrackContext,
  reused: {
    readonly repeat: Repeat;
    readonly known: Pick<KeyResult, "mayHaveRunBefore">;
  },
): void {
  const { mayHaveRunBefore } = reused.known;
  const reason = { code: "keyReused", retryAfterMs: 0 };
  const notRun = createNotRun({ attempts: [], mayHaveRunBefore }, reason);
  const outcome = notRun !== undefined && holdsArbiterLease(context)
    ? notRun
    : { kind: "unknown", code: "keyReused" } as const;
  sendOutcomeToRepeat(context, { repeat: reused.repeat, outcome });
}

function sendOutcomeToRepeat(
  context: TrackContext,
  answered: {
    readonly repeat: Repeat;
    readonly outcome: SendOutcome["outcome"];
  },
): void {
  const { callerId, info } = answered.repeat;
  context.effects.push({
    type: "sendOutcome",
    callerId,
    requestId: info.requestId,
    outcome: answered.outcome,
    headSent: false,
  });
}
