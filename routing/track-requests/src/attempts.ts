/** Starting attempts, asking about them and starting them again. */

import { formatAttemptId } from "@dandelionbank/read-ticket";
import { AnswerReader } from "./answer_reader.ts";
import type { NoTarget, TargetPicked, UnansweredCode } from "./events.ts";
import { proveNotRun } from "./not_run.ts";
import { abandon, giveUp, removeRequest } from "./outcomes.ts";
import {
  type Attempt,
  canStartAgain,
  hasOpenAttempt,
  isOpen,
  type Request,
} from "./request.ts";
import { seekHome } from "./seek_home.ts";
import { check, type TrackContext } from "./state.ts";

/** Asks after which an attempt that may be repeated is given up. */
const MAX_ASKS = 2;

export interface NextReason {
  readonly code: UnansweredCode;
  readonly retryAfterMs?: number;
  /** Whether another attempt is extra work for the pool. */
  readonly charged: boolean;
}

export function pickTarget(context: TrackContext, request: Request): void {
  const { requestId, organisation, pool, fingerprint } = request.info;
  request.picking = true;
  context.effects.push({
    type: "pickTarget",
    requestId,
    organisation,
    pool,
    fingerprint,
    avoid: request.attempts
      .filter(({ neverArrived }) => !neverArrived)
      .map(({ peer }) => peer),
    hedge: hasOpenAttempt(request),
  });
}

export function takeTarget(context: TrackContext, event: TargetPicked): void {
  const request = context.state.requests.get(event.requestId);
  if (request === undefined || !request.picking) return;
  request.picking = false;
  if (context.nowMs >= request.deadlineMs) {
    const reason = { code: "deadlineExceeded" } as const;
    if (!hasOpenAttempt(request)) giveUp(context, { request, reason });
    return;
  }
  const { target, agentIncarnation } = event;
  const attempt = createAttempt(context, {
    request,
    peer: target,
    agentIncarnation,
  });
  if (!mayDispatch(context, attempt)) {
    const reason = { code: "invariantViolated" } as const;
    return giveUp(context, { request, reason });
  }
  register(context, attempt);
  context.effects.push({
    type: "dispatch",
    requestId: request.info.requestId,
    attemptId: attempt.attemptId,
    target,
    agentIncarnation,
    timeLeftMs: request.deadlineMs - context.nowMs,
  });
}

export function takeNoTarget(context: TrackContext, event: NoTarget): void {
  const request = context.state.requests.get(event.requestId);
  if (request === undefined || !request.picking) return;
  request.picking = false;
  if (hasOpenAttempt(request)) return;
  const { code, retryAfterMs } = event;
  giveUp(context, { request, reason: { code, retryAfterMs } });
}

/** Goes on after an attempt has closed: another one, or the end. */
export function proceed(
  context: TrackContext,
  next: { readonly request: Request; readonly reason: NextReason },
): void {
  const { request, reason } = next;
  if (request.picking || hasOpenAttempt(request)) return;
  if (request.stage !== "local") return seekHome(context, request);
  if (request.callers.size === 0 && !request.claimed) {
    return removeRequest(context, { request, outcome: "abandoned" });
  }
  if (request.callers.size === 0) return giveUp(context, next);
  const { maxAttempts } = context.state.options;
  const proven = proveNotRun(request) !== undefined;
  if (!proven && !canStartAgain(request)) {
    return giveUp(context, next);
  }
  if (request.attempts.length >= maxAttempts) return giveUp(context, next);
  if (reason.charged && !context.state.budget.take()) {
    return giveUp(context, next);
  }
  pickTarget(context, request);
}

/** Passes a request on to the entry that arbitrates its key. */
export function passOn(
  context: TrackContext,
  pass: { readonly request: Request; readonly incarnation: string },
): void {
  const { request, incarnation } = pass;
  const supersedes = request.attempts.map(({ number }) => number);
  const attempt = createAttempt(context, {
    request,
    peer: incarnation,
    agentIncarnation: undefined,
  });
  register(context, attempt);
  context.effects.push({
    type: "relayToHome",
    requestId: request.info.requestId,
    attemptId: attempt.attemptId,
    incarnation,
    timeLeftMs: request.deadlineMs - context.nowMs,
    supersedes,
  });
}

/**
 * Takes up an inherited key at the agent that has it. The agent is only asked,
 * so that it runs nothing.
 */
export function takeUpHeld(
  context: TrackContext,
  held: {
    readonly request: Request;
    readonly target: string;
    readonly agentIncarnation: string;
  },
): void {
  const { request, target, agentIncarnation } = held;
  const attempt = createAttempt(context, {
    request,
    peer: target,
    agentIncarnation,
  });
  register(context, attempt);
  sendAsk(context, attempt);
}

/** Asks about an attempt on a new connection, or gives it up. */
export function followUp(context: TrackContext, attempt: Attempt): void {
  const { request } = attempt;
  const relayed = attempt.agentIncarnation === undefined;
  const exhausted = request.info.idempotent && attempt.asks >= MAX_ASKS;
  if (!relayed && !exhausted) return sendAsk(context, attempt);
  abandon(context, attempt);
  const reason = { code: "attemptLost", charged: true } as const;
  proceed(context, { request, reason });
}

/** Asks at once, unless that was just done. */
export function askSoon(context: TrackContext, attempt: Attempt): void {
  const gapMs = context.state.options.progressTimeoutMs / 4;
  const relayed = attempt.agentIncarnation === undefined;
  const sinceMs = relayed ? attempt.startedAtMs : attempt.askedAtMs;
  if (context.nowMs - sinceMs >= gapMs) followUp(context, attempt);
}

function sendAsk(context: TrackContext, attempt: Attempt): void {
  attempt.asks += 1;
  attempt.askedAtMs = context.nowMs;
  attempt.askAgainAtMs = undefined;
  const { key, fingerprint } = attempt.request.info;
  context.effects.push({
    type: "queryAttempt",
    requestId: attempt.request.info.requestId,
    attemptId: attempt.attemptId,
    keyId: key?.keyId,
    fingerprint,
    target: attempt.peer,
    agentIncarnation: attempt.agentIncarnation ?? "",
  });
}

function createAttempt(
  context: TrackContext,
  place: Pick<Attempt, "request" | "peer" | "agentIncarnation">,
): Attempt {
  const { state, nowMs } = context;
  const number = state.lastAttemptNumber + 1;
  state.lastAttemptNumber = number;
  const entryIncarnation = state.options.incarnation;
  return {
    attemptId: formatAttemptId({ entryIncarnation, number }),
    number,
    request: place.request,
    peer: place.peer,
    agentIncarnation: place.agentIncarnation,
    startedAtMs: nowMs,
    reader: new AnswerReader(state.options.createDigest()),
    state: "sent",
    heardAtMs: nowMs,
    askedAtMs: -Infinity,
    askAgainAtMs: undefined,
    neverArrived: false,
    asks: 0,
  };
}

function register(context: TrackContext, attempt: Attempt): void {
  attempt.request.attempts.push(attempt);
  context.state.attempts.set(attempt.attemptId, attempt);
}

/** What must hold of every dispatch, whatever led to it. */
function mayDispatch(context: TrackContext, attempt: Attempt): boolean {
  const { request } = attempt;
  const { idempotent, key } = request.info;
  const { attempts } = request;
  const holds = [
    check(context, {
      invariant: "unrepeatableDispatchedOnce",
      holds: idempotent || proveNotRun(request) !== undefined,
      detail: attempt.attemptId,
    }),
    check(context, {
      invariant: "onlyArbiterDispatches",
      holds: request.stage === "local" &&
        (idempotent || key === undefined || request.claimed),
      detail: attempt.attemptId,
    }),
    check(context, {
      invariant: "attemptsBounded",
      holds: attempts.length < context.state.options.maxAttempts &&
        attempts.filter(isOpen).length < 2,
      detail: attempt.attemptId,
    }),
  ];
  return holds.every(Boolean);
}
