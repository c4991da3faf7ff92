/** Requests a lookup of the arbiter of a request's key. */

import type { Request } from "./request.ts";
import type { TrackContext } from "./state.ts";

export function requestHomeLookup(
  context: TrackContext,
  request: Request,
): void {
  const { requestId, key } = request.info;
  if (key === undefined) return;
  request.stage = "locating";
  request.nextLookupAtMs = undefined;
  const { keyId, homeIncarnation } = key;
  context.effects.push({ type: "findHome", requestId, keyId, homeIncarnation });
}

/** Schedules another lookup after a quarter of the progress timeout. */
export function scheduleHomeLookup(
  context: TrackContext,
  request: Request,
): void {
  const { progressTimeoutMs } = context.state.options;
  request.stage = "locating";
  request.nextLookupAtMs = context.nowMs + progressTimeoutMs / 4;
}
