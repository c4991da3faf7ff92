/** Ends requests and stores the results of their keys. */

import { broadcastEnd, broadcastOutcome } from "./callers.ts";
import type { SendOutcome } from "./effects.ts";
import type { UnansweredCode } from "./events.ts";
import type { KeyResult } from "./key_results.ts";
import { createNotRun } from "./not_run.ts";
import {
  type Attempt,
  hasOpenAttempt,
  isOpen,
  type Request,
} from "./request.ts";
import { holdsArbiterLease, type TrackContext } from "./state.ts";

export interface UnansweredReason {
  readonly code: UnansweredCode;
  readonly retryAfterMs?: number;
}

/** Ends a request without a complete answer. */
export function endUnanswered(
  context: TrackContext,
  ending: { readonly request: Request; readonly reason: UnansweredReason },
): void {
  const { request } = ending;
  endWithOutcome(context, { request, outcome: decideOutcome(context, ending) });
}

/** Ends a request with an outcome other than a target's answer. */
export function endWithOutcome(
  context: TrackContext,
  ending: {
    readonly request: Request;
    readonly outcome: SendOutcome["outcome"];
  },
): void {
  const { request, outcome } = ending;
  broadcastOutcome(context, ending);
  if (continuesInBackground(request)) return continueInBackground(request);
  closeAttempts(context, request);
  const { key, idempotent } = request.info;
  if (request.claimed && key !== undefined) {
    const result = idempotent ? {} : { outcome };
    if (outcome.kind === "notRun") context.state.keys.release(key.keyId);
    else storeKeyResult(context, { request, result });
  }
  removeRequest(context, { request, outcome: outcome.kind });
}

/** Ends a request whose leading attempt has given a complete answer. */
export function endAnswered(context: TrackContext, attempt: Attempt): void {
  const { request, reader } = attempt;
  const { sent } = request;
  const { lengthBytes, digest } = reader;
  attempt.state = "complete";
  const characters = reader.readCharacters;
  broadcastEnd(context, {
    request,
    answer: { characters, lengthBytes, digest },
  });
  closeAttempts(context, request);
  if (request.claimed && sent !== undefined) {
    const { head, chunks, target } = sent;
    const answer = { head, chunks, target, lengthBytes, digest };
    storeKeyResult(context, { request, result: { answer } });
  }
  removeRequest(context, { request, outcome: "answered" });
}

/** Releases a key that belongs to another request. */
export function releaseKey(context: TrackContext, request: Request): void {
  const { key } = request.info;
  if (request.claimed && key !== undefined) {
    context.state.keys.release(key.keyId);
  }
  request.claimed = false;
}

/** Abandons the open attempts of a request. */
export function closeAttempts(context: TrackContext, request: Request): void {
  for (const attempt of request.attempts) {
    if (isOpen(attempt)) abandonAttempt(context, attempt);
  }
}

/** Abandons an attempt and cancels it if it is idempotent or relayed. */
export function abandonAttempt(context: TrackContext, attempt: Attempt): void {
  const { request, attemptId, peer } = attempt;
  attempt.state = "abandoned";
  if (request.leader === attempt) request.leader = undefined;
  const relayed = attempt.agentIncarnation === undefined;
  if (!request.info.idempotent && !relayed) return;
  context.effects.push({ type: "cancelAttempt", attemptId, peer });
}

export function removeRequest(
  context: TrackContext,
  removal: {
    readonly request: Request;
    readonly outcome:
      | "answered"
      | "abandoned"
      | "merged"
      | SendOutcome["outcome"]["kind"];
  },
): void {
  const { request, outcome } = removal;
  const { requestId } = request.info;
  for (const { attemptId } of request.attempts) {
    context.state.attempts.delete(attemptId);
  }
  context.state.requests.delete(requestId);
  const { attempts } = request;
  const completed = attempts.find(({ state }) => state === "complete");
  const target = (completed ?? attempts.at(-1))?.peer;
  context.effects.push({ type: "requestEnded", requestId, outcome, target });
}

function decideOutcome(
  context: TrackContext,
  ending: { readonly request: Request; readonly reason: UnansweredReason },
): SendOutcome["outcome"] {
  const { request, reason } = ending;
  const { code } = reason;
  const retryAfterMs = reason.retryAfterMs ??
    context.state.options.retryAfterMs;
  const { key, idempotent } = request.info;
  if (request.stage === "local") {
    const notRun = createNotRun(request, { code, retryAfterMs });
    const isSoleArbiter = key === undefined || holdsArbiterLease(context);
    if (notRun !== undefined && isSoleArbiter) return notRun;
    if (notRun !== undefined && !idempotent) {
      return { kind: "unknown", code: "arbiterUnsure" };
    }
  }
  if (idempotent) return { kind: "failed", code, retryAfterMs };
  const hasAnswerStarted = request.sent !== undefined &&
    request.stage === "local";
  return hasAnswerStarted && !hasOpenAttempt(request)
    ? { kind: "failed", code }
    : { kind: "unknown", code };
}

/**
 * Returns whether an open attempt must be tracked on behalf of its key after the
 * callers got their outcome, so that a repeat gets the answer.
 */
function continuesInBackground(request: Request): boolean {
  return request.claimed && !request.info.idempotent &&
    hasOpenAttempt(request);
}

function continueInBackground(request: Request): void {
  request.background = true;
  request.deadlineMs = request.keyExpiresAtMs;
}

function storeKeyResult(
  context: TrackContext,
  kept: {
    readonly request: Request;
    readonly result: {
      readonly outcome?: SendOutcome["outcome"];
      readonly answer?: KeyResult["answer"];
    };
  },
): void {
  const { info, keyExpiresAtMs, mayHaveRunBefore } = kept.request;
  const { outcome, answer } = kept.result;
  if (info.key === undefined || outcome?.kind === "notRun") return;
  context.state.keys.complete(info.key.keyId, {
    organisation: info.organisation,
    fingerprint: info.fingerprint,
    idempotent: info.idempotent,
    mayHaveRunBefore,
    expiresAtMs: keyExpiresAtMs,
    outcome,
    answer,
  });
}
