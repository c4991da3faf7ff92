/** What follows when the arbiter of a request's key is found. */

import { passOn, pickTarget, takeUpHeld } from "./attempts.ts";
import { addCaller, removeCaller } from "./callers.ts";
import type { HomeFound, KeyHome, KeyInfo } from "./events.ts";
import { endWith, giveUp, removeRequest } from "./outcomes.ts";
import { repeatKey } from "./repeats.ts";
import type { Request } from "./request.ts";
import { seekHomeLater } from "./seek_home.ts";
import type { TrackContext } from "./state.ts";

type ChargeHome = Exclude<KeyHome, { kind: "remote" | "unreachable" }>;

interface Charge {
  readonly request: Request;
  readonly key: KeyInfo;
  readonly home: ChargeHome;
}

export function takeHome(context: TrackContext, event: HomeFound): void {
  const request = context.state.requests.get(event.requestId);
  const key = request?.info.key;
  if (request === undefined || key === undefined) return;
  if (request.stage !== "locating" || request.seekAtMs !== undefined) return;
  const { home } = event;
  if (home.kind === "unreachable") return seekHomeLater(context, request);
  if (home.kind === "remote") {
    return goElsewhere(context, { request, incarnation: home.incarnation });
  }
  dropRelays(context, request);
  if (!mergeKnown(context, { request, key })) {
    takeCharge(context, { request, key, home });
  }
}

function goElsewhere(
  context: TrackContext,
  going: { readonly request: Request; readonly incarnation: string },
): void {
  const { request } = going;
  if (request.info.relay !== undefined) {
    const reason = { code: "homeUnreachable" } as const;
    return giveUp(context, { request, reason });
  }
  request.stage = "relaying";
  passOn(context, going);
}

/** Attempts that went to an earlier home say nothing about targets. */
function dropRelays(context: TrackContext, request: Request): void {
  for (const { attemptId } of request.attempts.splice(0)) {
    context.state.attempts.delete(attemptId);
  }
}

/** Joins the request to one that has the same key, if there is one here. */
function mergeKnown(
  context: TrackContext,
  merged: { readonly request: Request; readonly key: KeyInfo },
): boolean {
  const { request, key } = merged;
  const { keys } = context.state;
  const { keyId } = key;
  if (!(keys.findActive(keyId) ?? keys.findResult(keyId))) return false;
  if (request.sent !== undefined) {
    const reason = { code: "answerCut" } as const;
    giveUp(context, { request, reason });
    return true;
  }
  const [callerId] = request.callers.keys();
  const { info } = request;
  if (callerId === undefined) {
    removeRequest(context, { request, outcome: "abandoned" });
    return true;
  }
  removeCaller(context, callerId);
  if (!repeatKey(context, { callerId, info, keyId })) {
    addCaller(context, { request, callerId });
    return false;
  }
  removeRequest(context, { request, outcome: "merged" });
  return true;
}

/** Becomes the arbiter of a key that is new here. */
function takeCharge(context: TrackContext, charge: Charge): void {
  const { request, key, home } = charge;
  const { idempotent } = request.info;
  request.keyExpiresAtMs = home.expiresAtMs;
  const expired = home.expiresAtMs <= context.nowMs;
  if (expired && !idempotent) {
    const outcome = { kind: "unknown", code: "ticketExpired" } as const;
    return endWith(context, { request, outcome });
  }
  const { keys } = context.state;
  const known = idempotent &&
    (expired || keys.mayHaveRun(key.keyId, home.expiresAtMs));
  request.mayHaveRunBefore = known || home.kind === "held" ||
    home.kind === "unknown";
  request.claimed = !expired && keys.claim(key.keyId, request);
  request.stage = "local";
  begin(context, charge);
}

function begin(context: TrackContext, charge: Charge): void {
  const { request, home } = charge;
  const { idempotent } = request.info;
  const fresh = home.kind === "local" || home.kind === "free";
  const hasRoom = request.claimed || idempotent;
  if (fresh && !hasRoom) {
    return giveUp(context, { request, reason: { code: "tableFull" } });
  }
  const contradicted = home.kind === "free" && request.sent !== undefined;
  if (!idempotent && (home.kind === "unknown" || contradicted || !hasRoom)) {
    const outcome = { kind: "unknown", code: "attemptLost" } as const;
    return endWith(context, { request, outcome });
  }
  if (home.kind !== "held") return pickTarget(context, request);
  const { target, agentIncarnation } = home;
  takeUpHeld(context, { request, target, agentIncarnation });
}
