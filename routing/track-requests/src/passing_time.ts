/** What time and lost connections bring about. */

import { askSoon, followUp, pickTarget, proceed } from "./attempts.ts";
import type { AgentLost, ConnectionLost, DispatchFailed } from "./events.ts";
import { reportCrash } from "./frames.ts";
import { closeAttempts, giveUp, removeRequest } from "./outcomes.ts";
import { type Attempt, isOpen, type Request } from "./request.ts";
import { seekHome, seekHomeLater } from "./seek_home.ts";
import type { TrackContext } from "./state.ts";

/** Longest wait between two asks, in units of the first. */
const MAX_ASK_WAIT = 8;

export function handleTick(context: TrackContext): void {
  for (const request of context.state.requests.values()) {
    passTimeOf(context, request);
  }
  context.state.keys.expire(context.nowMs);
}

export function failDispatch(
  context: TrackContext,
  event: DispatchFailed,
): void {
  const attempt = context.state.attempts.get(event.attemptId);
  if (attempt === undefined || attempt.state !== "sent") return;
  const { request } = attempt;
  const relayed = attempt.agentIncarnation === undefined;
  attempt.state = relayed ? "abandoned" : "unsent";
  const reason = { code: "noTarget", charged: false } as const;
  if (relayed) seekHomeLater(context, request);
  else proceed(context, { request, reason });
}

export function loseConnection(
  context: TrackContext,
  event: ConnectionLost,
): void {
  const attempt = context.state.attempts.get(event.attemptId);
  if (attempt === undefined || !isOpen(attempt)) return;
  const relayed = attempt.agentIncarnation === undefined;
  const isAskLost = context.nowMs - attempt.askedAtMs < gapMs(context);
  if (isAskLost && !relayed) askAgainLater(context, attempt);
  else askSoon(context, attempt);
}

/** A lost ask is no silence: the next one comes sooner, each a while later. */
function askAgainLater(context: TrackContext, attempt: Attempt): void {
  const waits = Math.min(2 ** (attempt.asks - 1), MAX_ASK_WAIT);
  attempt.askAgainAtMs = attempt.askedAtMs + waits * gapMs(context);
}

export function loseAgent(context: TrackContext, event: AgentLost): void {
  for (const attempt of context.state.attempts.values()) {
    if (attempt.peer !== event.target || !isOpen(attempt)) continue;
    if (attempt.agentIncarnation !== event.agentIncarnation) continue;
    if (attempt.state === "admitted") reportCrash(context, attempt);
    attempt.state = "lost";
    const { request } = attempt;
    if (request.leader === attempt) request.leader = undefined;
    const reason = { code: "attemptLost", charged: true } as const;
    proceed(context, { request, reason });
  }
}

function passTimeOf(context: TrackContext, request: Request): void {
  const { nowMs } = context;
  if (nowMs >= request.deadlineMs) return endOverdue(context, request);
  if (request.seekAtMs !== undefined && nowMs >= request.seekAtMs) {
    return seekHome(context, request);
  }
  for (const attempt of request.attempts) {
    if (isOpen(attempt) && isAskDue(context, attempt)) {
      followUp(context, attempt);
    }
  }
  hedge(context, request);
}

function endOverdue(context: TrackContext, request: Request): void {
  if (!request.background) {
    const reason = { code: "deadlineExceeded" } as const;
    return giveUp(context, { request, reason });
  }
  const { key } = request.info;
  closeAttempts(context, request);
  if (key !== undefined) context.state.keys.release(key.keyId);
  removeRequest(context, { request, outcome: "unknown" });
}

function isAskDue(context: TrackContext, attempt: Attempt): boolean {
  const { askAgainAtMs = Infinity } = attempt;
  return context.nowMs >= askAgainAtMs || isSilent(context, attempt);
}

function isSilent(context: TrackContext, attempt: Attempt): boolean {
  const { progressTimeoutMs } = context.state.options;
  const waits = Math.min(2 ** attempt.asks, MAX_ASK_WAIT);
  const sinceMs = Math.max(attempt.heardAtMs, attempt.askedAtMs);
  return context.nowMs - sinceMs >= progressTimeoutMs * waits;
}

/** Starts a second attempt of a slow call that may be repeated. */
function hedge(context: TrackContext, request: Request): void {
  const { hedgeAfterMs, maxAttempts } = context.state.options;
  if (hedgeAfterMs === undefined || request.hedged || request.picking) return;
  if (request.stage !== "local" || !request.info.idempotent) return;
  if (request.sent !== undefined) return;
  const open = request.attempts.filter(isOpen);
  const [first] = open;
  if (first === undefined || open.length > 1) return;
  if (request.attempts.length >= maxAttempts) return;
  if (context.nowMs - first.startedAtMs < hedgeAfterMs) return;
  if (!context.state.budget.take()) return;
  request.hedged = true;
  pickTarget(context, request);
}

/** Least time between two asks. */
function gapMs(context: TrackContext): number {
  return context.state.options.progressTimeoutMs / 4;
}
