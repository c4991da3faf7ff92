/** What becomes of a request that arrives, and of a caller that leaves. */

import { DecidedNumbers } from "@dandelionbank/read-ticket";
import { pickTarget } from "./attempts.ts";
import { addCaller, removeCaller } from "./callers.ts";
import type {
  CallerDisconnected,
  RelayInfo,
  RequestArrived,
} from "./events.ts";
import { closeAttempts, removeRequest } from "./outcomes.ts";
import { repeatKey } from "./repeats.ts";
import { createRequest, type Request } from "./request.ts";
import { seekHome } from "./seek_home.ts";
import { check, type TrackContext } from "./state.ts";

export function arrive(context: TrackContext, event: RequestArrived): void {
  const { callerId, request: info } = event;
  const { requestId, relay, key } = info;
  if (relay !== undefined && !isFreshRelay(context, relay)) {
    const attemptId = callerId;
    context.effects.push({
      type: "frameDropped",
      attemptId,
      reason: "closedAttempt",
    });
    return;
  }
  const fresh = check(context, {
    invariant: "requestIdUsedOnce",
    holds: !context.state.requests.has(requestId),
    detail: requestId,
  });
  if (!fresh) return;
  context.state.budget.addRequest();
  if (key && repeatKey(context, { callerId, info, keyId: key.keyId })) {
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
  if (key === undefined) pickTarget(context, request);
  else seekHome(context, request);
}

export function leave(context: TrackContext, event: CallerDisconnected): void {
  const request = removeCaller(context, event.callerId);
  if (request === undefined || request.callers.size > 0) return;
  const mayHaveRun = request.attempts.some(({ state }) =>
    state !== "unsent" && state !== "refused"
  );
  if (request.claimed && mayHaveRun) return;
  drop(context, request);
}

/** Nobody waits for the request, and no key needs its end. */
function drop(context: TrackContext, request: Request): void {
  const { key } = request.info;
  closeAttempts(context, request);
  if (request.claimed && key !== undefined) {
    context.state.keys.release(key.keyId);
  }
  removeRequest(context, { request, outcome: "abandoned" });
}

/**
 * Whether a relayed request counts. A late or doubled one must not, since its
 * relaying entry may have passed on an outcome meanwhile.
 */
function isFreshRelay(context: TrackContext, relay: RelayInfo): boolean {
  const { relays } = context.state;
  const decided = relays.get(relay.entryIncarnation) ??
    DecidedNumbers.create();
  relays.set(relay.entryIncarnation, decided);
  const fresh = !decided.has(relay.number);
  decided.add(relay.number);
  relay.supersedes.forEach((number) => decided.add(number));
  return fresh;
}
