/**
 * Decides whether a request may be served, by its route, its key, and the time
 * since the configuration was last proven to be current. A request that a newer
 * configuration might allow is not denied; it gets a retryable refusal.
 */

import {
  type ActiveConfiguration,
  areKeysRequired,
  mayDeny,
  mayUseKeys,
} from "@dandelionbank/track-configuration";
import { findKeyHolder, matchRoute } from "@dandelionbank/match-route";
import type { CallerHead } from "@dandelionbank/platform-adapter";
import type { Instant, Route } from "@dandelionbank/types";

export type RouteDecision =
  | {
    readonly kind: "routed";
    readonly route: Route;
    /** The key's organisation; undefined if the route needs no key. */
    readonly organisation: string | undefined;
    readonly priority: number;
  }
  | {
    readonly kind: "denied";
    readonly status: 404 | 401;
    readonly reason: string;
  }
  /** Not run; another entry may serve it now, or this one shortly. */
  | { readonly kind: "unavailable"; readonly reason: string };

export function routeRequest(
  active: ActiveConfiguration,
  { head, target, now }: {
    readonly head: CallerHead;
    readonly target: string;
    readonly now: Instant;
  },
): RouteDecision {
  const { table } = active;
  if (table === undefined) return unavailable("no configuration received yet");
  const match = matchRoute(table, { host: head.host, target });
  if (match.kind === "unreadable") {
    return unavailable("the configuration of the route cannot be read");
  }
  if (match.kind === "none") {
    return mayDeny(active, now)
      ? { kind: "denied", status: 404, reason: "no matching route" }
      : unavailable("no route, but the configuration may be out of date");
  }
  const { route } = match;
  if (route.shares.length === 0) return unavailable("the route has no service");
  if (route.isPublic || !areKeysRequired(active)) {
    const { priority } = route;
    return { kind: "routed", route, organisation: undefined, priority };
  }
  const { keys } = table.configuration;
  if (keys === undefined) {
    return unavailable("keys are required, but the configuration has none");
  }
  const holder = findKeyHolder(table, head.key ?? "");
  if (holder === undefined && !keys.isComplete) {
    return unavailable("unknown key, but some keys cannot be read");
  }
  if (holder === undefined) {
    return mayDeny(active, now)
      ? { kind: "denied", status: 401, reason: "unknown key" }
      : unavailable("unknown key, but the configuration may be out of date");
  }
  if (!mayUseKeys(active, now)) return unavailable("key may have been revoked");
  return {
    kind: "routed",
    route,
    organisation: holder.organisation,
    priority: holder.priority ?? route.priority,
  };
}

function unavailable(reason: string): RouteDecision {
  return { kind: "unavailable", reason };
}
