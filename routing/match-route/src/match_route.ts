/**
 * Looks up routes by host and longest path prefix, and organisations by key.
 * Configurations hold hundreds of routes, so each host's prefixes are indexed.
 */

import type {
  IngressConfiguration,
  KeyHolder,
  Route,
  ServiceShare,
} from "@dandelionbank/types";

/** The routes of one configuration, indexed. */
export interface RouteTable {
  readonly configuration: IngressConfiguration;
  /** By host, then by path prefix. */
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

/** `target` is the request's path, with or without a query. */
export function matchRoute(
  { hosts }: RouteTable,
  { host, target }: { readonly host: string; readonly target: string },
): Route | undefined {
  const prefixes = hosts.get(withoutPort(host.toLowerCase()));
  if (prefixes === undefined) return undefined;
  const path = target.split("?", 1)[0] ?? "";
  let end = path.lastIndexOf("/");
  while (end >= 0) {
    const route = prefixes.get(path.slice(0, end + 1));
    if (route !== undefined) return route;
    end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
  }
  return undefined;
}

export function findKeyHolder(
  { configuration }: RouteTable,
  key: string,
): KeyHolder | undefined {
  return configuration.keys.get(key);
}

/** Chooses a service by weight; `random` is from 0 to below 1. */
export function chooseService(
  shares: readonly ServiceShare[],
  random: number,
): string | undefined {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  let left = random * total;
  for (const { service, weight } of shares) {
    left -= weight;
    if (left < 0) return service;
  }
  return shares.at(-1)?.service;
}

function withoutPort(host: string): string {
  return host.replace(/:\d+$/, "");
}
