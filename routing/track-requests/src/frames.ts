/** Handles the frames of an attempt. */

import type {
  AttemptAnswerHead,
  AttemptData,
  AttemptEnd,
  AttemptFailed,
  AttemptRefused,
} from "@dandelionbank/types";
import { queryIfDue, retryOrEnd } from "./attempts.ts";
import { broadcastData, broadcastHead } from "./callers.ts";
import type { FrameDropped } from "./effects.ts";
import type { FrameArrived, OutcomeFrame } from "./events.ts";
import { acceptFromHome } from "./not_run.ts";
import {
  abandonAttempt,
  endAnswered,
  endUnanswered,
  endWithOutcome,
  releaseKey,
} from "./outcomes.ts";
import { type Attempt, isOpen, retainsAnswer } from "./request.ts";
import { scheduleHomeLookup } from "./home_lookup.ts";
import { SentAnswer } from "./sent_answer.ts";
import { checkInvariant, type TrackContext } from "./state.ts";

/** Refusals for lack of capacity; a retry is charged to the retry budget. */
const OVERLOAD_CODES: ReadonlySet<string> = new Set([
  "suspectRunning",
  "tableFull",
  "targetBusy",
  "targetPaused",
]);

interface Received<Frame> {
  readonly attempt: Attempt;
  readonly frame: Frame;
}

export function handleFrame(context: TrackContext, event: FrameArrived): void {
  const { frame } = event;
  const { attemptId } = frame;
  const attempt = context.state.attempts.get(attemptId);
  if (attempt === undefined) {
    return reportDroppedFrame(context, { attemptId, reason: "unknownAttempt" });
  }
  if (!isOpen(attempt)) {
    return reportDroppedFrame(context, { attemptId, reason: "closedAttempt" });
  }
  attempt.lastFrameAtMs = context.nowMs;
  attempt.queryCount = 0;
  attempt.nextQueryAtMs = undefined;
  switch (frame.type) {
    case "admitted":
    case "heartbeat":
      attempt.state = "admitted";
      return;
    case "refused":
      return handleRefusal(context, { attempt, frame });
    case "head":
      return handleHead(context, { attempt, frame });
    case "data":
      return handleData(context, { attempt, frame });
    case "end":
      return handleEnd(context, { attempt, frame });
    case "failed":
      return handleFailure(context, { attempt, frame });
    case "outcome":
      return handleOutcome(context, { attempt, frame });
  }
}

function handleRefusal(
  context: TrackContext,
  received: Received<AttemptRefused>,
): void {
  const { attempt, frame } = received;
  const { request } = attempt;
  const isConsistent = checkInvariant(context, {
    invariant: "refusedNeverAnswered",
    holds: attempt.reader.head === undefined,
    detail: attempt.attemptId,
  });
  attempt.state = isConsistent ? "refused" : "failed";
  // The first connection failed, but the agent answered on another one, so the
  // target need not be avoided.
  attempt.neverArrived = frame.code === "neverArrived";
  const { code, retryAfterMs } = frame;
  if (code === "incarnationClosed") context.state.arbiterClosed = true;
  if (code === "keyReused") {
    releaseKey(context, request);
    return endUnanswered(context, { request, reason: { code: "keyReused" } });
  }
  const chargesBudget = OVERLOAD_CODES.has(code);
  const reason = {
    code: chargesBudget ? "overloaded" : "noTarget",
    chargesBudget,
  } as const;
  retryOrEnd(context, {
    request,
    reason: retryAfterMs > 0 ? { ...reason, retryAfterMs } : reason,
  });
}

function handleHead(
  context: TrackContext,
  received: Received<AttemptAnswerHead>,
): void {
  const { attempt, frame } = received;
  const { request, reader } = attempt;
  attempt.state = "admitted";
  if (reader.head !== undefined) return;
  reader.head = frame;
  const { leader, sent } = request;
  if (leader !== undefined && leader !== attempt) {
    return abandonAttempt(context, attempt);
  }
  if (sent !== undefined && !sent.matchesHead(frame)) {
    return endMismatched(context, attempt);
  }
  request.leader = attempt;
  if (sent === undefined) {
    const relayed = attempt.agentIncarnation === undefined;
    const target = relayed ? undefined : attempt.peer;
    const keep = retainsAnswer(request);
    request.sent = new SentAnswer(frame, { keep, target });
    broadcastHead(context, request);
  }
  for (const other of request.attempts) {
    if (other !== attempt && isOpen(other)) abandonAttempt(context, other);
  }
}

function handleData(
  context: TrackContext,
  received: Received<AttemptData>,
): void {
  const { attempt, frame } = received;
  const { attemptId, request, reader } = attempt;
  const offset = reader.readCharacters;
  const verdict = reader.readData(frame);
  if (verdict !== "next") {
    reportDroppedFrame(context, { attemptId, reason: verdict });
    if (verdict === "gap") queryIfDue(context, attempt);
    return;
  }
  const isLeader = checkInvariant(context, {
    invariant: "onlyLeaderSends",
    holds: request.leader === attempt && request.sent !== undefined,
    detail: attemptId,
  });
  if (!isLeader) return;
  const data = request.sent?.append(frame.data, offset);
  if (data === undefined) return endMismatched(context, attempt);
  if (data !== "") broadcastData(context, { request, data });
}

function handleEnd(
  context: TrackContext,
  received: Received<AttemptEnd>,
): void {
  const { attempt, frame } = received;
  const { request, reader } = attempt;
  const verdict = reader.readEnd(frame);
  if (verdict === "incomplete") return queryIfDue(context, attempt);
  if (verdict === "corrupt") {
    attempt.state = "failed";
    if (request.leader === attempt) request.leader = undefined;
    const reason = { code: "answerCut", chargesBudget: true } as const;
    return retryOrEnd(context, { request, reason });
  }
  if (request.sent?.characters !== reader.readCharacters) {
    return endMismatched(context, attempt);
  }
  endAnswered(context, attempt);
}

function handleFailure(
  context: TrackContext,
  received: Received<AttemptFailed>,
): void {
  const { attempt, frame } = received;
  const { request } = attempt;
  attempt.state = frame.mayHaveRun || attempt.reader.head !== undefined
    ? "failed"
    : "refused";
  if (request.leader === attempt) request.leader = undefined;
  if (frame.code === "targetDied") reportCrash(context, attempt);
  const reason = { code: "targetFailed", chargesBudget: true } as const;
  retryOrEnd(context, { request, reason });
}

function handleOutcome(
  context: TrackContext,
  received: Received<OutcomeFrame>,
): void {
  const { attempt, frame } = received;
  const { request } = attempt;
  const { outcome } = frame;
  if (attempt.agentIncarnation !== undefined) return;
  if (outcome.kind === "answered") return queryIfDue(context, attempt);
  attempt.state = "failed";
  if (outcome.kind !== "notRun" && outcome.code === "homeUnreachable") {
    return scheduleHomeLookup(context, request);
  }
  if (outcome.kind === "notRun" && context.nowMs >= request.deadlineMs) {
    // The caller may have repeated the request since, and the repeat may have run.
    return endUnanswered(context, {
      request,
      reason: { code: "deadlineExceeded" },
    });
  }
  endWithOutcome(context, { request, outcome: acceptFromHome(outcome) });
}

/** Reports that a target was lost while it ran the attempt. */
export function reportCrash(context: TrackContext, attempt: Attempt): void {
  const { requestId, organisation, fingerprint } = attempt.request.info;
  context.effects.push({
    type: "attemptCrashed",
    attemptId: attempt.attemptId,
    requestId,
    organisation,
    fingerprint,
    target: attempt.peer,
  });
}

/** Ends a request whose new attempt's answer differs from what was sent. */
function endMismatched(context: TrackContext, attempt: Attempt): void {
  const { request } = attempt;
  attempt.state = "failed";
  if (request.leader === attempt) request.leader = undefined;
  endUnanswered(context, { request, reason: { code: "answerDiffers" } });
}

function reportDroppedFrame(
  context: TrackContext,
  dropped: Omit<FrameDropped, "type">,
): void {
  context.effects.push({ type: "frameDropped", ...dropped });
}
