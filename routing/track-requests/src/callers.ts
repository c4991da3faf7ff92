/** Sends answers and outcomes to the callers of a request. */

import type { SendOutcome } from "./effects.ts";
import type { KeptAnswer } from "./key_results.ts";
import { proveNotRun } from "./not_run.ts";
import type { Request } from "./request.ts";
import type { SentAnswer } from "./sent_answer.ts";
import { checkInvariant, type TrackContext } from "./state.ts";

export interface RequestCaller {
  readonly request: Request;
  readonly callerId: string;
}

/** Adds a caller and sends it the part of the answer sent so far. */
export function addCaller(context: TrackContext, added: RequestCaller): void {
  const { request, callerId } = added;
  const { sent } = request;
  request.callers.set(callerId, { sentCharacters: sent?.characters ?? 0 });
  context.state.callers.set(callerId, request);
  if (sent === undefined) return;
  sendHead(context, { callerId, sent });
  for (const data of sent.chunks) {
    context.effects.push({ type: "sendData", callerId, data });
  }
}

export function removeCaller(
  context: TrackContext,
  callerId: string,
): Request | undefined {
  const request = context.state.callers.get(callerId);
  context.state.callers.delete(callerId);
  request?.callers.delete(callerId);
  return request;
}

export function broadcastHead(context: TrackContext, request: Request): void {
  const { sent } = request;
  if (sent === undefined) return;
  for (const callerId of request.callers.keys()) {
    sendHead(context, { callerId, sent });
  }
}

export function broadcastData(
  context: TrackContext,
  sending: { readonly request: Request; readonly data: string },
): void {
  const { request, data } = sending;
  for (const [callerId, caller] of request.callers) {
    caller.sentCharacters += data.length;
    context.effects.push({ type: "sendData", callerId, data });
  }
}

/** Completes the answer for every caller that received all of it. */
export function broadcastEnd(
  context: TrackContext,
  ending: { readonly request: Request; readonly answer: AnswerSummary },
): void {
  const { request, answer } = ending;
  for (const [callerId, caller] of request.callers) {
    const holds = caller.sentCharacters === answer.characters;
    checkInvariant(context, {
      invariant: "wholeAnswer",
      holds,
      detail: callerId,
    });
    removeCaller(context, callerId);
    if (!holds) {
      sendOutcome(context, {
        request,
        callerId,
        outcome: { kind: "failed", code: "invariantViolated" },
      });
      continue;
    }
    const { lengthBytes, digest } = answer;
    context.effects.push({ type: "sendEnd", callerId, lengthBytes, digest });
  }
}

export interface AnswerSummary {
  readonly characters: number;
  readonly lengthBytes: number;
  readonly digest: string;
}

/** Sends the outcome to every caller and removes them. */
export function broadcastOutcome(
  context: TrackContext,
  ending: {
    readonly request: Request;
    readonly outcome: SendOutcome["outcome"];
  },
): void {
  for (const callerId of ending.request.callers.keys()) {
    removeCaller(context, callerId);
    sendOutcome(context, { ...ending, callerId });
  }
}

/** Sends a kept answer to another caller. */
export function replayAnswer(
  context: TrackContext,
  replay: { readonly callerId: string; readonly answer: KeptAnswer },
): void {
  const { callerId, answer } = replay;
  const { lengthBytes, digest } = answer;
  sendHead(context, { callerId, sent: answer });
  for (const data of answer.chunks) {
    context.effects.push({ type: "sendData", callerId, data });
  }
  context.effects.push({ type: "sendEnd", callerId, lengthBytes, digest });
}

function sendOutcome(
  context: TrackContext,
  ending: RequestCaller & { readonly outcome: SendOutcome["outcome"] },
): void {
  const { request, callerId, outcome } = ending;
  const { requestId } = request.info;
  const proven = outcome.kind !== "notRun" || request.stage !== "local" ||
    proveNotRun(request) !== undefined;
  const holds = checkInvariant(context, {
    invariant: "notRunIsProven",
    holds: proven,
    detail: requestId,
  });
  context.effects.push({
    type: "sendOutcome",
    callerId,
    requestId,
    outcome: holds ? outcome : { kind: "unknown", code: "invariantViolated" },
    headSent: request.sent !== undefined,
  });
}

function sendHead(
  context: TrackContext,
  sending: {
    readonly callerId: string;
    readonly sent: Pick<SentAnswer, "head" | "target">;
  },
): void {
  const { status, contentType, encoding } = sending.sent.head;
  const { callerId, sent: { target } } = sending;
  context.effects.push({
    type: "sendHead",
    callerId,
    status,
    contentType,
    encoding,
    target,
  });
}
