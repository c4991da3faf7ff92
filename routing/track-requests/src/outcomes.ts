/** How a request ends, and what remains of it. */

import { answerCallers, sendEnds } from "./callers.ts";
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
import { isSureArbiter, type TrackContext } from "./state.ts";

export interface GiveUpReason {
  readonly code: UnansweredCode;
  readonly retryAfterMs?: number;
}

/** Ends a request without a whole answer. */
export function giveUp(
  context: TrackContext,
  given: { readonly request: Request; readonly reason: GiveUpReason },
): void {
  const { request } = given;
  endWith(context, { request, outcome: decideOutcome(context, given) });
}

/** Ends a request with an outcome that is not the target's answer. */
export function endWith(
  context: TrackContext,
  ending: {
    readonly request: Request;
    readonly outcome: SendOutcome["outcome"];
  },
): void {
  const { request, outcome } = ending;
  answerCallers(context, ending);
  if (isFollowedOn(request)) return followOn(request);
  closeAttempts(context, request);
  const { key, idempotent } = request.info;
  if (request.claimed && key !== undefined) {
    const result = idempotent ? {} : { outcome };
    if (outcome.kind === "notRun") context.state.keys.release(key.keyId);
    else keepResult(context, { request, result });
  }
  removeRequest(context, { request, outcome: outcome.kind });
}

/** Ends a request whose leading attempt has given its whole answer. */
export function endAnswered(context: TrackContext, attempt: Attempt): void {
  const { request, reader } = attempt;
  const { sent } = request;
  const { lengthBytes, digest } = reader;
  attempt.state = "whole";
  const characters = reader.readCharacters;
  sendEnds(context, { request, answer: { characters, lengthBytes, digest } });
  closeAttempts(context, request);
  if (request.claimed && sent !== undefined) {
    const { head, parts, target } = sent;
    const answer = { head, parts, target, lengthBytes, digest };
    keepResult(context, { request, result: { answer } });
  }
  removeRequest(context, { request, outcome: "answered" });
}

/** Leaves a key to another call that has it already. */
export function releaseKey(context: TrackContext, request: Request): void {
  const { key } = request.info;
  if (request.claimed && key !== undefined) {
    context.state.keys.release(key.keyId);
  }
  request.claimed = false;
}

/** Ends the open attempts of a request that needs them no longer. */
export function closeAttempts(context: TrackContext, request: Request): void {
  for (const attempt of request.attempts) {
    if (isOpen(attempt)) abandon(context, attempt);
  }
}

/** Gives an attempt up, and cancels it if its call may be cut. */
export function abandon(context: TrackContext, attempt: Attempt): void {
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
  const whole = attempts.find(({ state }) => state === "whole");
  const target = (whole ?? attempts.at(-1))?.peer;
  context.effects.push({ type: "requestEnded", requestId, outcome, target });
}

function decideOutcome(
  context: TrackContext,
  given: { readonly request: Request; readonly reason: GiveUpReason },
): SendOutcome["outcome"] {
  const { request, reason } = given;
  const { code } = reason;
  const retryAfterMs = reason.retryAfterMs ??
    context.state.options.retryAfterMs;
  const { key, idempotent } = request.info;
  if (request.stage === "local") {
    const notRun = createNotRun(request, { code, retryAfterMs });
    const sure = key === undefined || isSureArbiter(context);
    if (notRun !== undefined && sure) return notRun;
    if (notRun !== undefined && !idempotent) {
      return { kind: "unknown", code: "arbiterUnsure" };
    }
  }
  if (idempotent) return { kind: "failed", code, retryAfterMs };
  const began = request.sent !== undefined && request.stage === "local";
  return began && !hasOpenAttempt(request)
    ? { kind: "failed", code }
    : { kind: "unknown", code };
}

/**
 * An attempt that may still end is followed on behalf of its key, so that a
 * repeat gets its answer.
 */
function isFollowedOn(request: Request): boolean {
  return request.claimed && !request.info.idempotent &&
    hasOpenAttempt(request);
}

function followOn(request: Request): void {
  request.background = true;
  request.deadlineMs = request.keyExpiresAtMs;
}

function keepResult(
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
  context.state.keys.end(info.key.keyId, {
    organisation: info.organisation,
    fingerprint: info.fingerprint,
    idempotent: info.idempotent,
    mayHaveRunBefore,
    expiresAtMs: keyExpiresAtMs,
    outcome,
    answer,
  });
}
