/** A caller's request and the route that it matched. */

import type { CallerHead, HeaderFields } from "@dandelionbank/platform-adapter";
import type { Route } from "@dandelionbank/types";

/**
 * Subtracted from the caller's deadline, so that the answer arrives in time.
 */
const DEADLINE_MARGIN_MS = 20;

export interface RoutedRequest {
  readonly head: CallerHead;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  readonly route: Route;
  readonly organisation: string | undefined;
  readonly priority: number;
  readonly arrivedAtMs: number;
}

/** Returns the route's timeout, or the caller's deadline if that is sooner. */
export function computeTimeoutMs(
  { route, head }: Pick<RoutedRequest, "route" | "head">,
): number {
  const { deadlineMs = Number.POSITIVE_INFINITY } = head;
  return Math.min(route.timeoutMs, deadlineMs - DEADLINE_MARGIN_MS);
}
