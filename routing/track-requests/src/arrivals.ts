/** Handles arriving requests and disconnecting callers. */

import { DecidedNumbers } from "@dandelionbank/read-ticket";
import { requestTarget } from "./attempts.ts";
import { addCaller, removeCaller } from "./callers.ts";
import type {
  CallerDisconnected,
  RelayInfo,
  RequestArrived,
} from "./events.ts";
import { closeAttempts, removeRequest } from "./outcomes.ts";
import { handleRepeatedKey } from "./repeats.ts";
import { createRequest, type Request } from "./request.ts";
import { requestHomeLookup } from "./home_lookup.ts";
import { checkInvariant, type TrackContext } from "./state.ts";

export function handleRequestArrived(
  context: TrackContext,
  event: RequestArrived,
): void {
  const { callerId, request: info } = event;
  const { requestId, relay, key } = info;
  if (relay !== undefined && !registerRelay(context, relay)) {
    const attemptId = callerId;
    context.effects.push({
      type: "frameDropped",
      attemptId,
      reason: "closedAttempt",
    });
    return;
  }
  const fresh = checkInvariant(context, {
    invariant: "requestIdUsedOnce",
    holds: !context.state.requests.has(requestId),
    detail: requestId,
  });
  if (!fresh) return;
  context.state.budget.recordRequest();
  if (key && handleRepeatedKey(context, { callerId, info, keyId: key.keyId })) {
    const outcome = "merged";
    context.effects.push({
      type: "requestEnded",
      requestId,
      outcome,
      target: undefined,
    });
    return;
  }
  const request = createRequest(info, context.nowMs + info.timeLeftMs);
  context.state.requests.set(requestId, request);
  addCaller(context, { request, callerId });
  if (key === undefined) requestTarget(context, request);
  else requestHomeLookup(context, request);
}

export function handleCallerDisconnected(
  context: TrackContext,
  event: CallerDisconnected,
): void {
  const request = removeCaller(context, event.callerId);
  if (request === undefined || request.callers.size > 0) return;
  const mayHaveRun = request.attempts.some(({ state }) =>
    state !== "unsent" && state !== "refused"
  );
  if (request.claimed && mayHaveRun) return;
  abandonRequest(context, request);
}

/** Ends a request that has no callers and whose key does not need a result. */
function abandonRequest(context: TrackContext, request: Request): void {
  const { key } = request.info;
  closeAttempts(context, request);
  if (request.claimed && key !== undefined) {
    context.state.keys.release(key.keyId);
  }
  removeRequest(context, { request, outcome: "abandoned" });
}

/**
 * Records a relayed request. Returns false for a late or duplicate one, which
 * must be dropped, as the relaying entry may already have sent an outcome.
 */
function registerRelay(context: TrackContext, relay: RelayInfo): boolean {
  const { relays } = context.state;
  const decided = relays.get(relay.entryIncarnation) ??
    DecidedNumbers.create();
  relays.set(relay.entryIncarnation, decided);
  const fresh = !decided.has(relay.number);
  decided.add(relay.number);
  relay.supersedes.forEach((number) => decided.add(number));
  return fresh;
}
