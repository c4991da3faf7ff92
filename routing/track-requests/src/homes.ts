/** Handles the result of a home lookup: which entry arbitrates a request's key. */

import { relayToHome, requestTarget, resumeHeldAttempt } from "./attempts.ts";
import { addCaller, removeCaller } from "./callers.ts";
import type { HomeFound, KeyHome, KeyInfo } from "./events.ts";
import { endUnanswered, endWithOutcome, removeRequest } from "./outcomes.ts";
import { handleRepeatedKey } from "./repeats.ts";
import type { Request } from "./request.ts";
import { scheduleHomeLookup } from "./home_lookup.ts";
import type { TrackContext } from "./state.ts";

type OwnedHome = Exclude<KeyHome, { kind: "elsewhere" | "lost" }>;

interface OwnedKey {
  readonly request: Request;
  readonly key: KeyInfo;
  readonly home: OwnedHome;
}

export function handleHomeFound(context: TrackContext, event: HomeFound): void {
  const request = context.state.requests.get(event.requestId);
  const key = request?.info.key;
  if (request === undefined || key === undefined) return;
  if (request.stage !== "locating" || request.nextLookupAtMs !== undefined) {
    return;
  }
  const { home } = event;
  if (home.kind === "lost") return scheduleHomeLookup(context, request);
  if (home.kind === "elsewhere") {
    return relayOrFail(context, { request, incarnation: home.incarnation });
  }
  discardRelayedAttempts(context, request);
  if (!mergeIntoKnownKey(context, { request, key })) {
    claimKey(context, { request, key, home });
  }
}

function relayOrFail(
  context: TrackContext,
  relay: { readonly request: Request; readonly incarnation: string },
): void {
  const { request } = relay;
  if (request.info.relay !== undefined) {
    const reason = { code: "homeUnreachable" } as const;
    return endUnanswered(context, { request, reason });
  }
  request.stage = "relaying";
  relayToHome(context, relay);
}

/** Discards attempts relayed to an earlier home: their peers are not targets. */
function discardRelayedAttempts(context: TrackContext, request: Request): void {
  for (const { attemptId } of request.attempts.splice(0)) {
    context.state.attempts.delete(attemptId);
  }
}

/**
 * Merges the request into the active request or result of the same key. Returns
 * false if there is none, or the request may run again.
 */
function mergeIntoKnownKey(
  context: TrackContext,
  merged: { readonly request: Request; readonly key: KeyInfo },
): boolean {
  const { request, key } = merged;
  const { keys } = context.state;
  const { keyId } = key;
  if (!(keys.findActive(keyId) ?? keys.findResult(keyId))) return false;
  if (request.sent !== undefined) {
    const reason = { code: "answerCut" } as const;
    endUnanswered(context, { request, reason });
    return true;
  }
  const [callerId] = request.callers.keys();
  const { info } = request;
  if (callerId === undefined) {
    removeRequest(context, { request, outcome: "abandoned" });
    return true;
  }
  removeCaller(context, callerId);
  if (!handleRepeatedKey(context, { callerId, info, keyId })) {
    addCaller(context, { request, callerId });
    return false;
  }
  removeRequest(context, { request, outcome: "merged" });
  return true;
}

/** Makes this entry the arbiter of a key that it does not know yet. */
function claimKey(context: TrackContext, owned: OwnedKey): void {
  const { request, key, home } = owned;
  const { idempotent } = request.info;
  request.keyExpiresAtMs = home.expiresAtMs;
  const expired = home.expiresAtMs <= context.nowMs;
  if (expired && !idempotent) {
    const outcome = { kind: "unknown", code: "ticketExpired" } as const;
    return endWithOutcome(context, { request, outcome });
  }
  const { keys } = context.state;
  const mayHaveRunLocally = idempotent &&
    (expired || keys.mayHaveRun(key.keyId, home.expiresAtMs));
  request.mayHaveRunBefore = mayHaveRunLocally || home.kind === "held" ||
    home.kind === "unknown";
  request.claimed = !expired && keys.claim(key.keyId, request);
  request.stage = "local";
  startClaimed(context, owned);
}

function startClaimed(context: TrackContext, owned: OwnedKey): void {
  const { request, home } = owned;
  const { idempotent } = request.info;
  const isNew = home.kind === "here" || home.kind === "free";
  const hasSpace = request.claimed || idempotent;
  if (isNew && !hasSpace) {
    return endUnanswered(context, { request, reason: { code: "tableFull" } });
  }
  // If part of an answer was sent, the key has run, although no agent holds it.
  const contradicted = home.kind === "free" && request.sent !== undefined;
  if (!idempotent && (home.kind === "unknown" || contradicted || !hasSpace)) {
    const outcome = { kind: "unknown", code: "attemptLost" } as const;
    return endWithOutcome(context, { request, outcome });
  }
  if (home.kind !== "held") return requestTarget(context, request);
  const { target, agentIncarnation } = home;
  resumeHeldAttempt(context, { request, target, agentIncarnation });
}
