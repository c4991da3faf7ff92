/**
 * Matches requests to routes by host and longest path prefix, and API keys to
 * organisations. Configurations hold hundreds of routes, so the path prefixes of
 * each host are indexed.
 */

import type {
  IngressConfiguration,
  KeyHolder,
  Route,
  ServiceShare,
} from "@dandelionbank/types";

/** The indexed routes of one configuration. */
export interface RouteTable {
  readonly configuration: IngressConfiguration;
  /** Routes by host, then by path prefix. */
  readonly hosts: ReadonlyMap<string, ReadonlyMap<string, Route>>;
}

export function createRouteTable(
  configuration: IngressConfiguration,
): RouteTable {
  const hosts = new Map<string, Map<string, Route>>();
  for (const route of configuration.routes) {
    const prefixes = hosts.get(route.host) ?? new Map<string, Route>();
    prefixes.set(route.pathPrefix, route);
    hosts.set(route.host, prefixes);
  }
  return { configuration, hosts };
}

/**
 * Returns the route with the longest path prefix that matches. `target` is the
 * request target: the path with an optional query.
 */
export function matchRoute(
  { hosts }: RouteTable,
  { host, target }: { readonly host: string; readonly target: string },
): Route | undefined {
  const prefixes = hosts.get(stripPort(host.toLowerCase()));
  if (prefixes === undefined) return undefined;
  const path = target.split("?", 1)[0] ?? "";
  let slashIndex = path.lastIndexOf("/");
  while (slashIndex >= 0) {
    const route = prefixes.get(path.slice(0, slashIndex + 1));
    if (route !== undefined) return route;
    slashIndex = slashIndex === 0 ? -1 : path.lastIndexOf("/", slashIndex - 1);
  }
  return undefined;
}

/** Returns the holder of an API key, if the configuration has the key. */
export function findKeyHolder(
  { configuration }: RouteTable,
  key: string,
): KeyHolder | undefined {
  return configuration.keys?.get(key);
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
