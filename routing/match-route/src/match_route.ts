/**
 * Matches requests to routes by host and longest path prefix, and API keys to
 * organisations. Configurations hold hundreds of routes, so the path prefixes of
 * each host are indexed.
 */

import type {
  IngressConfiguration,
  KeyHolder,
  Route,
  RouteScope,
  ServiceShare,
} from "@dandelionbank/types";

export type RouteMatch =
  | { readonly kind: "route"; readonly route: Route }
  /** The request belongs to a route that could not be read. */
  | { readonly kind: "unreadable" }
  | { readonly kind: "none" };

/** The indexed routes of one configuration. */
export interface RouteTable {
  readonly configuration: IngressConfiguration;
  /** Matches by host, then by path prefix. */
  readonly hosts: ReadonlyMap<string, ReadonlyMap<string, RouteMatch>>;
}

export function createRouteTable(
  configuration: IngressConfiguration,
): RouteTable {
  const hosts = new Map<string, Map<string, RouteMatch>>();
  const add = ({ host, pathPrefix }: RouteScope, match: RouteMatch) => {
    const prefixes = hosts.get(host) ?? new Map<string, RouteMatch>();
    prefixes.set(pathPrefix, match);
    hosts.set(host, prefixes);
  };
  for (const route of configuration.routes) {
    add(route, { kind: "route", route });
  }
  for (const scope of configuration.unreadableRoutes) {
    add(scope, { kind: "unreadable" });
  }
  return { configuration, hosts };
}

/**
 * Finds the route with the longest path prefix that matches. `target` is the
 * request target: the path with an optional query.
 */
export function matchRoute(
  { hosts }: RouteTable,
  { host, target }: { readonly host: string; readonly target: string },
): RouteMatch {
  const prefixes = hosts.get(stripPort(host.toLowerCase()));
  if (prefixes === undefined) return { kind: "none" };
  const path = target.split("?", 1)[0] ?? "";
  let slashIndex = path.lastIndexOf("/");
  while (slashIndex >= 0) {
    const match = prefixes.get(path.slice(0, slashIndex + 1));
    if (match !== undefined) return match;
    slashIndex = slashIndex === 0 ? -1 : path.lastIndexOf("/", slashIndex - 1);
  }
  return { kind: "none" };
}

/** Returns the holder of an API key, if the configuration has the key. */
export function findKeyHolder(
  { configuration }: RouteTable,
  key: string,
): KeyHolder | undefined {
  return configuration.keys?.holders.get(key);
}

/** Chooses a service by weight; `random` is in the interval [0, 1). */
export function chooseService(
  shares: readonly ServiceShare[],
  random: number,
): string | undefined {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random * total;
  for (const { service, weight } of shares) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return shares.at(-1)?.service;
}

function stripPort(host: string): string {
  return host.replace(/:\d+$/, "");
}
