/** Handles timeouts, hedging, lost connections and lost agents. */

import {
  queryIfDue,
  queryOrAbandon,
  requestTarget,
  retryOrEnd,
} from "./attempts.ts";
import type { AgentLost, ConnectionLost, DispatchFailed } from "./events.ts";
import { reportCrash } from "./frames.ts";
import { closeAttempts, endUnanswered, removeRequest } from "./outcomes.ts";
import { type Attempt, isOpen, type Request } from "./request.ts";
import { requestHomeLookup, scheduleHomeLookup } from "./home_lookup.ts";
import type { TrackContext } from "./state.ts";

/** Maximum delay between two queries, as a multiple of the first delay. */
const MAX_BACKOFF_FACTOR = 8;

export function handleTick(context: TrackContext): void {
  for (const request of context.state.requests.values()) {
    checkTimers(context, request);
  }
  context.state.keys.expire(context.nowMs);
}

export function handleDispatchFailed(
  context: TrackContext,
  event: DispatchFailed,
): void {
  const attempt = context.state.attempts.get(event.attemptId);
  if (attempt === undefined || attempt.state !== "sent") return;
  const { request } = attempt;
  const relayed = attempt.agentIncarnation === undefined;
  attempt.state = relayed ? "abandoned" : "unsent";
  const reason = { code: "noTarget", chargesBudget: false } as const;
  if (relayed) scheduleHomeLookup(context, request);
  else retryOrEnd(context, { request, reason });
}

export function handleConnectionLost(
  context: TrackContext,
  event: ConnectionLost,
): void {
  const attempt = context.state.attempts.get(event.attemptId);
  if (attempt === undefined || !isOpen(attempt)) return;
  const relayed = attempt.agentIncarnation === undefined;
  const isQueryLost =
    context.nowMs - attempt.queriedAtMs < minQueryIntervalMs(context);
  if (isQueryLost && !relayed) scheduleQuery(context, attempt);
  else queryIfDue(context, attempt);
}

/**
 * Schedules the next query after a query's connection was lost. As that is not a
 * progress timeout, the backoff starts from the shorter query interval.
 */
function scheduleQuery(context: TrackContext, attempt: Attempt): void {
  const backoffFactor = Math.min(
    2 ** (attempt.queryCount - 1),
    MAX_BACKOFF_FACTOR,
  );
  attempt.nextQueryAtMs = attempt.queriedAtMs +
    backoffFactor * minQueryIntervalMs(context);
}

export function handleAgentLost(context: TrackContext, event: AgentLost): void {
  for (const attempt of context.state.attempts.values()) {
    if (attempt.peer !== event.target || !isOpen(attempt)) continue;
    if (attempt.agentIncarnation !== event.agentIncarnation) continue;
    if (attempt.state === "admitted") reportCrash(context, attempt);
    attempt.state = "lost";
    const { request } = attempt;
    if (request.leader === attempt) request.leader = undefined;
    const reason = { code: "attemptLost", chargesBudget: true } as const;
    retryOrEnd(context, { request, reason });
  }
}

function checkTimers(context: TrackContext, request: Request): void {
  const { nowMs } = context;
  if (nowMs >= request.deadlineMs) return endExpired(context, request);
  if (request.nextLookupAtMs !== undefined && nowMs >= request.nextLookupAtMs) {
    return requestHomeLookup(context, request);
  }
  for (const attempt of request.attempts) {
    if (isOpen(attempt) && isQueryDue(context, attempt)) {
      queryOrAbandon(context, attempt);
    }
  }
  hedge(context, request);
}

function endExpired(context: TrackContext, request: Request): void {
  if (!request.background) {
    const reason = { code: "deadlineExceeded" } as const;
    return endUnanswered(context, { request, reason });
  }
  const { key } = request.info;
  closeAttempts(context, request);
  if (key !== undefined) context.state.keys.release(key.keyId);
  removeRequest(context, { request, outcome: "unknown" });
}

function isQueryDue(context: TrackContext, attempt: Attempt): boolean {
  const { nextQueryAtMs = Infinity } = attempt;
  return context.nowMs >= nextQueryAtMs ||
    hasProgressTimedOut(context, attempt);
}

/** Whether no frame has arrived within the timeout, which grows with each query. */
function hasProgressTimedOut(context: TrackContext, attempt: Attempt): boolean {
  const { progressTimeoutMs } = context.state.options;
  const backoffFactor = Math.min(2 ** attempt.queryCount, MAX_BACKOFF_FACTOR);
  const sinceMs = Math.max(attempt.lastFrameAtMs, attempt.queriedAtMs);
  return context.nowMs - sinceMs >= progressTimeoutMs * backoffFactor;
}

/** Starts a second attempt for a slow idempotent request. */
function hedge(context: TrackContext, request: Request): void {
  const { hedgeAfterMs, maxAttempts } = context.state.options;
  if (hedgeAfterMs === undefined || request.hedged || request.awaitingTarget) {
    return;
  }
  if (request.stage !== "local" || !request.info.idempotent) return;
  if (request.sent !== undefined) return;
  const open = request.attempts.filter(isOpen);
  const [first] = open;
  if (first === undefined || open.length > 1) return;
  if (request.attempts.length >= maxAttempts) return;
  if (context.nowMs - first.startedAtMs < hedgeAfterMs) return;
  if (!context.state.budget.tryConsumeRetry()) return;
  request.hedged = true;
  requestTarget(context, request);
}

/** Minimum delay between two queries for an attempt. */
function minQueryIntervalMs(context: TrackContext): number {
  return context.state.options.progressTimeoutMs / 4;
}
