/**
 * Permissions over series of configurations, some of which cannot be read in part,
 * are malformed or missing. A part that is lost must never allow more than the whole
 * configuration does.
 */

import { routeRequest } from "@dandelionbank/forward-requests";
import type { Logger } from "@dandelionbank/log-events";
import { decodeCallerHead, HEADERS } from "@dandelionbank/platform-adapter";
import { createActiveConfiguration } from "@dandelionbank/track-configuration";
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ConfigurationView } from "./configuration_view.ts";

const BOUNDS = {
  revocationMs: 5_000,
  configurationMs: 2_000,
  watchWaitMs: 1_500,
  rewriteMs: 2_000,
};
const HOST = "a.example";
const PREFIXES = ["/", "/a/", "/a/b/", "/a/b/c/"] as const;
const KEYS = ["k1", "k2", "k3"] as const;
const CALLER_KEYS = [...KEYS, "unknown", "", undefined];
const NAME = "main";

interface RouteModel {
  readonly prefix: string;
  readonly isPublic: boolean;
}

/** What the operator means to have in force. */
interface ConfigurationModel {
  readonly routes: readonly RouteModel[];
  /** Keys of each organisation; undefined if the configuration mentions none. */
  readonly organisations: readonly (readonly string[])[] | undefined;
}

interface Change {
  readonly model: ConfigurationModel;
  /** Choose fields and the values that replace them; empty for a sound change. */
  readonly damages: readonly { readonly at: number; readonly value: unknown }[];
  readonly kind: "changed" | "listed" | "removed" | "unlisted";
  /** Time from the change to the requests. */
  readonly waitMs: number;
}

interface RequestModel {
  readonly path: string;
  readonly key: string | undefined;
  readonly requiresKeys: boolean;
}

/** A configuration and when the next one replaced it. */
interface Published {
  readonly model: ConfigurationModel;
  readonly isApplied: boolean;
  readonly replacedAtMs: number;
}

for (const requiresKeys of [true, false]) {
  test(`A request runs only if a configuration that may be in force allows it (keys required: ${requiresKeys})`, () => {
    fc.assert(
      fc.property(
        fc.array(createChangeArbitrary(), { minLength: 1, maxLength: 8 }),
        (changes) => runSeries(changes, requiresKeys),
      ),
      { numRuns: 600, seed: 52 },
    );
  });
}

function runSeries(changes: readonly Change[], requiresKeys: boolean): void {
  const active = createActiveConfiguration({ bounds: BOUNDS, requiresKeys });
  const refused: string[] = [];
  const logger: Logger = { log: (name) => void refused.push(name) };
  const view = ConfigurationView.create({
    active,
    logger,
    onApplied: () => undefined,
    onRestored: () => undefined,
  });
  let nowMs = 0;
  let published: readonly Published[] = [];
  changes.forEach((change, index) => {
    const revision = index + 1;
    const spec = damage(createSpec(change.model, revision), change.damages);
    const item = { name: NAME, revision, spec };
    const isMissing = change.kind === "removed" || change.kind === "unlisted";
    refused.length = 0;
    if (change.kind === "listed" || change.kind === "unlisted") {
      const items = isMissing ? [] : [item];
      view.handleEvent({ type: "listed", items, revision, isRestored: false });
    } else {
      const isDeleted = isMissing;
      view.handleEvent({ type: "changed", change: { item, isDeleted } });
    }
    view.handleEvent({ type: "proven", sentAt: createInstant(nowMs) });
    published = [
      ...published.map((earlier) => ({
        ...earlier,
        replacedAtMs: Math.min(earlier.replacedAtMs, nowMs),
      })),
      ...(isMissing ? [] : [{
        model: change.model,
        isApplied: !refused.includes("configurationRefused"),
        replacedAtMs: Number.POSITIVE_INFINITY,
      }]),
    ];
    nowMs += change.waitMs;
    const isSound = change.damages.length === 0 && !isMissing;
    const isProven = change.waitMs < BOUNDS.revocationMs * 0.9;
    for (const path of PREFIXES.map((prefix) => `${prefix}x`)) {
      for (const key of CALLER_KEYS) {
        const decision = routeRequest(active, {
          head: decodeCallerHead({ host: HOST, [HEADERS.credential]: key }),
          target: path,
          now: createInstant(nowMs),
        });
        const request = { path, key, requiresKeys };
        const mayRun = published.some((earlier) =>
          mayAllow(earlier, { published, nowMs, request })
        );
        const runs = decision.kind === "routed";
        assert.ok(mayRun || !runs, `${path} with key ${key} runs`);
        if (!isSound || !isProven) continue;
        const expected = isAllowed(change.model, request);
        assert.equal(runs, expected, `${path} with key ${key}`);
      }
    }
  });
}

/**
 * A configuration that was replaced may be in force for as long as a revocation may
 * take. The last one that was applied stays where newer ones cannot be read, but
 * its keys do not.
 */
function mayAllow(
  candidate: Published,
  { published, nowMs, request }: {
    readonly published: readonly Published[];
    readonly nowMs: number;
    readonly request: RequestModel;
  },
): boolean {
  const { model, replacedAtMs } = candidate;
  if (nowMs - replacedAtMs < BOUNDS.revocationMs) {
    return isAllowed(model, request);
  }
  return candidate === published.findLast(({ isApplied }) => isApplied) &&
    isAllowed(model, { ...request, key: undefined });
}

function isAllowed(
  { routes, organisations }: ConfigurationModel,
  { path, key, requiresKeys }: RequestModel,
): boolean {
  const route = routes
    .filter(({ prefix }) => path.startsWith(prefix))
    .toSorted((a, b) => b.prefix.length - a.prefix.length)[0];
  if (route === undefined) return false;
  if (route.isPublic) return true;
  if (organisations === undefined) return !requiresKeys;
  return key !== undefined && organisations.flat().includes(key);
}

function createSpec(
  { routes, organisations }: ConfigurationModel,
  version: number,
): unknown {
  return {
    version,
    routes: routes.map(({ prefix, isPublic }) => ({
      name: prefix,
      host: HOST,
      "path_prefix": prefix,
      type: "idempotent",
      "timeout_ms": 1_000,
      "latency_goal_ms": 100,
      priority: 1,
      service: "s",
      attempts: 1,
      public: isPublic,
    })),
    services: [{ name: "s", "max_conns": 4 }],
    limits: { "max_body_bytes": 4_096 },
    ...(organisations === undefined ? {} : {
      tenants: organisations.map((keys, index) => ({
        name: `o${index}`,
        "api_keys": keys,
      })),
    }),
  };
}

/** Replaces fields by values of another type. */
function damage(spec: unknown, damages: Change["damages"]): unknown {
  const copy = structuredClone(spec);
  for (const { at, value } of damages) {
    const fields = listFields(copy);
    const field = fields[at % fields.length];
    if (field === undefined || describe(field.value) === describe(value)) {
      continue;
    }
    field.replace(structuredClone(value));
  }
  return copy;
}

interface Field {
  readonly value: unknown;
  readonly replace: (value: unknown) => void;
}

/** Lists the fields and items at all depths. */
function listFields(value: unknown): readonly Field[] {
  if (typeof value !== "object" || value === null) return [];
  const container = value as Record<string, unknown>;
  return Object.keys(container).flatMap((name) => [
    {
      value: container[name],
      replace: (other: unknown) => void (container[name] = other),
    },
    ...listFields(container[name]),
  ]);
}

function describe(value: unknown): string {
  if (value === null) return "null";
  return Array.isArray(value) ? "list" : typeof value;
}

function createChangeArbitrary(): fc.Arbitrary<Change> {
  const values = [null, {}, [], 7, true, "text", [null], { name: 1 }];
  return fc.record({
    model: fc.record({
      routes: fc.subarray([...PREFIXES]).chain((prefixes) =>
        fc.tuple(
          ...prefixes.map((prefix) =>
            fc.record({ prefix: fc.constant(prefix), isPublic: fc.boolean() })
          ),
        )
      ),
      organisations: fc.option(
        fc.array(fc.subarray([...KEYS]), { maxLength: 3 }),
        { nil: undefined },
      ),
    }),
    damages: fc.array(
      fc.record({ at: fc.nat(999), value: fc.constantFrom(...values) }),
      { maxLength: 3 },
    ),
    kind: fc.constantFrom("changed", "listed", "removed", "unlisted"),
    waitMs: fc.integer({ min: 0, max: 10_000 }),
  });
}

function createInstant(ms: number) {
  return { monotonicMs: ms, wallMs: ms };
}
