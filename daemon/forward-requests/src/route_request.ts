/**
 * Decides whether a request may be served: its route, its key and how old the
 * proof of the configuration is. What a newer configuration might allow is not
 * denied, only put off.
 */

import {
  type HeldConfiguration,
  mayDeny,
  mayUseKeys,
} from "@dandelionbank/hold-configuration";
import { findKeyHolder, matchRoute } from "@dandelionbank/match-route";
import type { CallerHead } from "@dandelionbank/platform-adapter";
import type { Instant, Route } from "@dandelionbank/types";

export type RouteDecision =
  | {
    readonly kind: "routed";
    readonly route: Route;
    /** Undefined where the route needs no key. */
    readonly organisation: string | undefined;
    readonly priority: number;
  }
  | {
    readonly kind: "denied";
    readonly status: 404 | 401;
    readonly reason: string;
  }
  /** Not run; another entry, or this one soon, may serve it. */
  | { readonly kind: "putOff"; readonly reason: string };

export function routeRequest(
  held: HeldConfiguration,
  { head, target, now }: {
    readonly head: CallerHead;
    readonly target: string;
    readonly now: Instant;
  },
): RouteDecision {
  const { table } = held;
  if (table === undefined) return putOff("no configuration yet");
  const route = matchRoute(table, { host: head.host, target });
  if (route === undefined) {
    return mayDeny(held, now)
      ? { kind: "denied", status: 404, reason: "no route" }
      : putOff("no route in a configuration that may be old");
  }
  if (!table.configuration.usesKeys || route.isPublic) {
    const { priority } = route;
    return { kind: "routed", route, organisation: undefined, priority };
  }
  const holder = findKeyHolder(table, head.key ?? "");
  if (holder === undefined) {
    return mayDeny(held, now)
      ? { kind: "denied", status: 401, reason: "unknown key" }
      : putOff("unknown key in a configuration that may be old");
  }
  if (!mayUseKeys(held, now)) return putOff("key may be revoked");
  return {
    kind: "routed",
    route,
    organisation: holder.organisation,
    priority: holder.priority ?? route.priority,
  };
}

function putOff(reason: string): RouteDecision {
  return { kind: "putOff", reason };
}
