/** What the frames of an attempt's answer bring about. */

import type {
  AttemptAnswerHead,
  AttemptData,
  AttemptEnd,
  AttemptFailed,
  AttemptRefused,
} from "@dandelionbank/types";
import { askSoon, proceed } from "./attempts.ts";
import { sendData, sendHeads } from "./callers.ts";
import type { FrameDropped } from "./effects.ts";
import type { FrameArrived, OutcomeFrame } from "./events.ts";
import { acceptFromHome } from "./not_run.ts";
import {
  abandon,
  endAnswered,
  endWith,
  giveUp,
  releaseKey,
} from "./outcomes.ts";
import { type Attempt, isOpen, keepsAnswer } from "./request.ts";
import { seekHomeLater } from "./seek_home.ts";
import { SentAnswer } from "./sent_answer.ts";
import { check, type TrackContext } from "./state.ts";

/** Refusals after which another attempt would be extra work for the pool. */
const OVERLOAD_CODES: ReadonlySet<string> = new Set([
  "suspectRunning",
  "tableFull",
  "targetBusy",
]);

interface Received<Frame> {
  readonly attempt: Attempt;
  readonly frame: Frame;
}

export function takeFrame(context: TrackContext, event: FrameArrived): void {
  const { frame } = event;
  const { attemptId } = frame;
  const attempt = context.state.attempts.get(attemptId);
  if (attempt === undefined) {
    return drop(context, { attemptId, reason: "unknownAttempt" });
  }
  if (!isOpen(attempt)) {
    return drop(context, { attemptId, reason: "closedAttempt" });
  }
  attempt.heardAtMs = context.nowMs;
  attempt.asks = 0;
  attempt.askAgainAtMs = undefined;
  switch (frame.type) {
    case "admitted":
    case "heartbeat":
      attempt.state = "admitted";
      return;
    case "refused":
      return takeRefusal(context, { attempt, frame });
    case "head":
      return takeHead(context, { attempt, frame });
    case "data":
      return takeData(context, { attempt, frame });
    case "end":
      return takeEnd(context, { attempt, frame });
    case "failed":
      return takeFailure(context, { attempt, frame });
    case "outcome":
      return takeOutcome(context, { attempt, frame });
  }
}

function takeRefusal(
  context: TrackContext,
  received: Received<AttemptRefused>,
): void {
  const { attempt, frame } = received;
  const { request } = attempt;
  const truthful = check(context, {
    invariant: "refusedNeverAnswered",
    holds: attempt.reader.head === undefined,
    detail: attempt.attemptId,
  });
  attempt.state = truthful ? "refused" : "failed";
  // The connection was at fault, and the agent has answered on another one.
  attempt.neverArrived = frame.code === "neverArrived";
  const { code, retryAfterMs } = frame;
  if (code === "incarnationClosed") context.state.arbiterClosed = true;
  if (code === "keyReused") {
    releaseKey(context, request);
    return giveUp(context, { request, reason: { code: "keyReused" } });
  }
  const charged = OVERLOAD_CODES.has(code);
  const reason = {
    code: charged ? "overloaded" : "noTarget",
    charged,
  } as const;
  proceed(context, {
    request,
    reason: retryAfterMs > 0 ? { ...reason, retryAfterMs } : reason,
  });
}

function takeHead(
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
    return abandon(context, attempt);
  }
  if (sent !== undefined && !sent.matchesHead(frame)) {
    return endDiffering(context, attempt);
  }
  request.leader = attempt;
  if (sent === undefined) {
    const relayed = attempt.agentIncarnation === undefined;
    const target = relayed ? undefined : attempt.peer;
    const keep = keepsAnswer(request);
    request.sent = new SentAnswer(frame, { keep, target });
    sendHeads(context, request);
  }
  for (const other of request.attempts) {
    if (other !== attempt && isOpen(other)) abandon(context, other);
  }
}

function takeData(
  context: TrackContext,
  received: Received<AttemptData>,
): void {
  const { attempt, frame } = received;
  const { attemptId, request, reader } = attempt;
  const at = reader.readCharacters;
  const verdict = reader.readData(frame);
  if (verdict !== "next") {
    drop(context, { attemptId, reason: verdict });
    if (verdict === "gap") askSoon(context, attempt);
    return;
  }
  const leads = check(context, {
    invariant: "onlyLeaderSends",
    holds: request.leader === attempt && request.sent !== undefined,
    detail: attemptId,
  });
  if (!leads) return;
  const data = request.sent?.add(frame.data, at);
  if (data === undefined) return endDiffering(context, attempt);
  if (data !== "") sendData(context, { request, data });
}

function takeEnd(context: TrackContext, received: Received<AttemptEnd>): void {
  const { attempt, frame } = received;
  const { request, reader } = attempt;
  const verdict = reader.readEnd(frame);
  if (verdict === "incomplete") return askSoon(context, attempt);
  if (verdict === "corrupt") {
    attempt.state = "failed";
    if (request.leader === attempt) request.leader = undefined;
    const reason = { code: "answerCut", charged: true } as const;
    return proceed(context, { request, reason });
  }
  if (request.sent?.characters !== reader.readCharacters) {
    return endDiffering(context, attempt);
  }
  endAnswered(context, attempt);
}

function takeFailure(
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
  const reason = { code: "targetFailed", charged: true } as const;
  proceed(context, { request, reason });
}

function takeOutcome(
  context: TrackContext,
  received: Received<OutcomeFrame>,
): void {
  const { attempt, frame } = received;
  const { request } = attempt;
  const { outcome } = frame;
  if (attempt.agentIncarnation !== undefined) return;
  if (outcome.kind === "answered") return askSoon(context, attempt);
  attempt.state = "failed";
  if (outcome.kind !== "notRun" && outcome.code === "homeUnreachable") {
    return seekHomeLater(context, request);
  }
  if (outcome.kind === "notRun" && context.nowMs >= request.deadlineMs) {
    // The caller may have sent it again since, and that may have run.
    return giveUp(context, { request, reason: { code: "deadlineExceeded" } });
  }
  endWith(context, { request, outcome: acceptFromHome(outcome) });
}

/** A target was lost while it ran the attempt. */
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

/** Another attempt's answer does not go on from what was sent. */
function endDiffering(context: TrackContext, attempt: Attempt): void {
  const { request } = attempt;
  attempt.state = "failed";
  if (request.leader === attempt) request.leader = undefined;
  giveUp(context, { request, reason: { code: "answerDiffers" } });
}

function drop(
  context: TrackContext,
  dropped: Omit<FrameDropped, "type">,
): void {
  context.effects.push({ type: "frameDropped", ...dropped });
}
