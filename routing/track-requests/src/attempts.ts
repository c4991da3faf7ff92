/** Starts, queries and retries attempts. */

import { formatAttemptId } from "@dandelionbank/read-ticket";
import { AnswerReader } from "./answer_reader.ts";
import type { NoTarget, TargetPicked, UnansweredCode } from "./events.ts";
import { proveNotRun } from "./not_run.ts";
import { abandonAttempt, endUnanswered, removeRequest } from "./outcomes.ts";
import {
  type Attempt,
  canRetry,
  hasOpenAttempt,
  isOpen,
  type Request,
} from "./request.ts";
import { requestHomeLookup } from "./home_lookup.ts";
import { checkInvariant, type TrackContext } from "./state.ts";

/** Unanswered queries after which an idempotent attempt is abandoned. */
const MAX_QUERIES = 2;

export interface RetryReason {
  readonly code: UnansweredCode;
  readonly retryAfterMs?: number;
  /** Whether a retry is charged to the retry budget. */
  readonly chargesBudget: boolean;
}

export function requestTarget(context: TrackContext, request: Request): void {
  const { requestId, organisation, pool, fingerprint } = request.info;
  request.awaitingTarget = true;
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

export function handleTargetPicked(
  context: TrackContext,
  event: TargetPicked,
): void {
  const request = context.state.requests.get(event.requestId);
  if (request === undefined || !request.awaitingTarget) return;
  request.awaitingTarget = false;
  if (context.nowMs >= request.deadlineMs) {
    const reason = { code: "deadlineExceeded" } as const;
    if (!hasOpenAttempt(request)) endUnanswered(context, { request, reason });
    return;
  }
  const { target, agentIncarnation } = event;
  const attempt = createAttempt(context, {
    request,
    peer: target,
    agentIncarnation,
  });
  if (!checkDispatch(context, attempt)) {
    const reason = { code: "invariantViolated" } as const;
    return endUnanswered(context, { request, reason });
  }
  registerAttempt(context, attempt);
  context.effects.push({
    type: "dispatch",
    requestId: request.info.requestId,
    attemptId: attempt.attemptId,
    target,
    agentIncarnation,
    timeLeftMs: request.deadlineMs - context.nowMs,
  });
}

export function handleNoTarget(context: TrackContext, event: NoTarget): void {
  const request = context.state.requests.get(event.requestId);
  if (request === undefined || !request.awaitingTarget) return;
  request.awaitingTarget = false;
  if (hasOpenAttempt(request)) return;
  const { code, retryAfterMs } = event;
  endUnanswered(context, { request, reason: { code, retryAfterMs } });
}

/** Retries a request after an attempt has closed, or ends it. */
export function retryOrEnd(
  context: TrackContext,
  next: { readonly request: Request; readonly reason: RetryReason },
): void {
  const { request, reason } = next;
  if (request.awaitingTarget || hasOpenAttempt(request)) return;
  if (request.stage !== "local") return requestHomeLookup(context, request);
  if (request.callers.size === 0 && !request.claimed) {
    return removeRequest(context, { request, outcome: "abandoned" });
  }
  if (request.callers.size === 0) return endUnanswered(context, next);
  const { maxAttempts } = context.state.options;
  const proven = proveNotRun(request) !== undefined;
  if (!proven && !canRetry(request)) {
    return endUnanswered(context, next);
  }
  if (request.attempts.length >= maxAttempts) {
    return endUnanswered(context, next);
  }
  if (reason.chargesBudget && !context.state.budget.tryConsumeRetry()) {
    return endUnanswered(context, next);
  }
  requestTarget(context, request);
}

/** Relays a request to the entry that arbitrates its key. */
export function relayToHome(
  context: TrackContext,
  relay: { readonly request: Request; readonly incarnation: string },
): void {
  const { request, incarnation } = relay;
  const supersedes = request.attempts.map(({ number }) => number);
  const attempt = createAttempt(context, {
    request,
    peer: incarnation,
    agentIncarnation: undefined,
  });
  registerAttempt(context, attempt);
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
 * Resumes an inherited key at the agent that holds it. The agent is queried, not
 * sent the request, so that it runs nothing.
 */
export function resumeHeldAttempt(
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
  registerAttempt(context, attempt);
  sendQuery(context, attempt);
}

/**
 * Queries the agent for an attempt on a new connection. Relayed attempts, and
 * idempotent ones whose queries are exhausted, are abandoned instead.
 */
export function queryOrAbandon(context: TrackContext, attempt: Attempt): void {
  const { request } = attempt;
  const relayed = attempt.agentIncarnation === undefined;
  const exhausted = request.info.idempotent &&
    attempt.queryCount >= MAX_QUERIES;
  if (!relayed && !exhausted) return sendQuery(context, attempt);
  abandonAttempt(context, attempt);
  const reason = { code: "attemptLost", chargesBudget: true } as const;
  retryOrEnd(context, { request, reason });
}

/**
 * Queries or abandons the attempt at once, unless it was queried, or relayed,
 * less than a quarter of the progress timeout ago.
 */
export function queryIfDue(context: TrackContext, attempt: Attempt): void {
  const minQueryIntervalMs = context.state.options.progressTimeoutMs / 4;
  const relayed = attempt.agentIncarnation === undefined;
  const sinceMs = relayed ? attempt.startedAtMs : attempt.queriedAtMs;
  if (context.nowMs - sinceMs >= minQueryIntervalMs) {
    queryOrAbandon(context, attempt);
  }
}

function sendQuery(context: TrackContext, attempt: Attempt): void {
  attempt.queryCount += 1;
  attempt.queriedAtMs = context.nowMs;
  attempt.nextQueryAtMs = undefined;
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
  route: Pick<Attempt, "request" | "peer" | "agentIncarnation">,
): Attempt {
  const { state, nowMs } = context;
  const number = state.lastAttemptNumber + 1;
  state.lastAttemptNumber = number;
  const entryIncarnation = state.options.incarnation;
  return {
    attemptId: formatAttemptId({ entryIncarnation, number }),
    number,
    request: route.request,
    peer: route.peer,
    agentIncarnation: route.agentIncarnation,
    startedAtMs: nowMs,
    reader: new AnswerReader(state.options.createDigest()),
    state: "sent",
    lastFrameAtMs: nowMs,
    queriedAtMs: -Infinity,
    nextQueryAtMs: undefined,
    neverArrived: false,
    queryCount: 0,
  };
}

function registerAttempt(context: TrackContext, attempt: Attempt): void {
  attempt.request.attempts.push(attempt);
  context.state.attempts.set(attempt.attemptId, attempt);
}

/** Checks the invariants that hold for every dispatch. */
function checkDispatch(context: TrackContext, attempt: Attempt): boolean {
  const { request } = attempt;
  const { idempotent, key } = request.info;
  const { attempts } = request;
  const holds = [
    checkInvariant(context, {
      invariant: "unrepeatableDispatchedOnce",
      holds: idempotent || proveNotRun(request) !== undefined,
      detail: attempt.attemptId,
    }),
    checkInvariant(context, {
      invariant: "onlyArbiterDispatches",
      holds: request.stage === "local" &&
        (idempotent || key === undefined || request.claimed),
      detail: attempt.attemptId,
    }),
    checkInvariant(context, {
      invariant: "attemptsBounded",
      holds: attempts.length < context.state.options.maxAttempts &&
        attempts.filter(isOpen).length < 2,
      detail: attempt.attemptId,
    }),
  ];
  return holds.every(Boolean);
}
