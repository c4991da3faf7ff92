/** Asks who arbitrates a request's key. */

import type { Request } from "./request.ts";
import type { TrackContext } from "./state.ts";

export function seekHome(context: TrackContext, request: Request): void {
  const { requestId, key } = request.info;
  if (key === undefined) return;
  request.stage = "locating";
  request.seekAtMs = undefined;
  const { keyId, homeIncarnation } = key;
  context.effects.push({ type: "findHome", requestId, keyId, homeIncarnation });
}

/** Asks again a while later. */
export function seekHomeLater(context: TrackContext, request: Request): void {
  const { progressTimeoutMs } = context.state.options;
  request.stage = "locating";
  request.seekAtMs = context.nowMs + progressTimeoutMs / 4;
}
