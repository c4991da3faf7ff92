import assert from "node:assert/strict";
import { test } from "node:test";
import type { IngressConfiguration, Route } from "@dandelionbank/types";
import {
  chooseService,
  createRouteTable,
  findKeyHolder,
  matchRoute,
} from "./mod.ts";

test("The longest path prefix of the host that matches is chosen", () => {
  const table = createTable();
  const cases: readonly [string, string, string | undefined][] = [
    ["a.example", "/one/x", "one"],
    ["a.example", "/one/two/x", "two"],
    ["a.example", "/one/two", "one"],
    ["a.example", "/one/two/?q=/one/three/", "two"],
    ["A.Example:8080", "/one/x", "one"],
    ["a.example", "/other/", undefined],
    ["a.example", "/one", undefined],
    ["b.example", "/one/x", undefined],
  ];
  for (const [host, target, name] of cases) {
    const match = matchRoute(table, { host, target });
    assert.equal(match.kind, name === undefined ? "none" : "route", target);
    if (match.kind === "route") assert.equal(match.route.name, name, target);
  }
});

// A route that cannot be read must not leave its requests to a shorter prefix, whose
// route may be public or lead to another service.
test("An unreadable route keeps its requests from matching another route", () => {
  const table = createTable({
    unreadableRoutes: [
      { host: "a.example", pathPrefix: "/one/two/" },
      { host: "a.example", pathPrefix: "/one/three/" },
    ],
  });
  const cases = [
    ["/one/x", "route"],
    ["/one/two/x", "unreadable"],
    ["/one/three/x", "unreadable"],
  ] as const;
  for (const [target, kind] of cases) {
    const match = matchRoute(table, { host: "a.example", target });
    assert.equal(match.kind, kind, target);
  }
});

test("An API key is resolved to its organisation", () => {
  const table = createTable();
  assert.equal(findKeyHolder(table, "k1")?.organisation, "o1");
  assert.equal(findKeyHolder(table, ""), undefined);
});

test("Services are chosen in proportion to their weights", () => {
  const shares = [
    { service: "a", weight: 90 },
    { service: "b", weight: 10 },
  ];
  assert.equal(chooseService(shares, 0), "a");
  assert.equal(chooseService(shares, 0.899), "a");
  assert.equal(chooseService(shares, 0.901), "b");
  assert.equal(chooseService([], 0.5), undefined);
});

function createTable(
  { unreadableRoutes = [] }: Partial<
    Pick<IngressConfiguration, "unreadableRoutes">
  > = {},
) {
  const configuration: IngressConfiguration = {
    version: 1,
    routes: [
      createRoute({ name: "one", pathPrefix: "/one/" }),
      createRoute({ name: "two", pathPrefix: "/one/two/" }),
    ],
    services: new Map(),
    unreadableRoutes,
    keys: {
      holders: new Map([["k1", { organisation: "o1", priority: undefined }]]),
      isComplete: true,
    },
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
  return createRouteTable(configuration);
}

function createRoute(
  fields: Pick<Route, "name" | "pathPrefix">,
): Route {
  return {
    ...fields,
    host: "a.example",
    kind: "idempotent",
    timeoutMs: 1_000,
    objectiveMs: 100,
    eventGapMs: undefined,
    priority: 1,
    maxTargets: 2,
    isPublic: false,
    isResumable: false,
    shares: [{ service: "s", weight: 1 }],
  };
}
