/** Schema of the configuration, with the defaults of its fields. */

import type { Config } from "@dandelionbank/types";
import * as v from "valibot";
import {
  integerBetween,
  listOf,
  nameField,
  textField,
} from "@dandelionbank/schemas";

export const PLACEMENT_POLICIES = [
  "powerOfTwo",
  "leastRequests",
  "roundRobin",
  "random",
] as const;

/** Largest `bodyLimitBytes`, since a request's body is kept in memory. */
export const MAX_BODY_LIMIT_BYTES = 67_108_864;

/** Values of the fields that a configuration omits. */
export const DEFAULT_CONFIG: Config = {
  pools: [],
  drainTimeoutMs: 30_000,
  requestTimeoutMs: 60_000,
  progressTimeoutMs: 2_000,
  hedgeAfterMs: 0,
  bodyLimitBytes: 1_048_576,
  ticketValidityMs: 60_000,
  placement: "powerOfTwo",
};

const PATH_MESSAGE = "a path that begins with /";
const METHOD_MESSAGE = "an HTTP method in upper case";

const ROUTE_SCHEMA = v.strictObject({
  method: v.pipe(
    v.string(METHOD_MESSAGE),
    v.regex(/^[A-Z]{3,16}$/, METHOD_MESSAGE),
  ),
  pathPrefix: v.pipe(
    v.string(PATH_MESSAGE),
    v.regex(/^\/\S{0,1023}$/, PATH_MESSAGE),
  ),
  idempotent: v.boolean("true or false"),
}, "an object with method, pathPrefix and idempotent");

const POOL_SCHEMA = v.pipe(
  v.strictObject({
    name: nameField(),
    kind: v.picklist(["rank", "engine", "plain"], "rank, engine or plain"),
    models: v.optional(listOf(textField(256), { maxLength: 256 }), []),
    routes: v.optional(listOf(ROUTE_SCHEMA, { maxLength: 1_024 }), []),
  }, "an object with name, kind, models and routes"),
  v.check(
    (pool) => pool.kind !== "plain" || pool.models.length === 0,
    "no models in a pool of plain services",
  ),
  v.check(
    (pool) => pool.kind === "plain" || pool.routes.length === 0,
    "no routes in a pool of model engines or ranks",
  ),
);

const POOLS_SCHEMA = v.pipe(
  listOf(POOL_SCHEMA, { maxLength: 256 }),
  v.check(
    (pools) => areUnique(pools.map((pool) => pool.name)),
    "each pool's name once",
  ),
  v.check(
    (pools) => areUnique(pools.flatMap((pool) => pool.models)),
    "each model in one pool only",
  ),
);

export const CONFIG_SCHEMA = v.strictObject({
  pools: v.optional(POOLS_SCHEMA, [...DEFAULT_CONFIG.pools] as []),
  drainTimeoutMs: v.optional(
    integerBetween({ min: 1, max: 3_600_000 }),
    DEFAULT_CONFIG.drainTimeoutMs,
  ),
  requestTimeoutMs: v.optional(
    integerBetween({ min: 1, max: 3_600_000 }),
    DEFAULT_CONFIG.requestTimeoutMs,
  ),
  progressTimeoutMs: v.optional(
    integerBetween({ min: 10, max: 600_000 }),
    DEFAULT_CONFIG.progressTimeoutMs,
  ),
  hedgeAfterMs: v.optional(
    integerBetween({ min: 0, max: 600_000 }),
    DEFAULT_CONFIG.hedgeAfterMs,
  ),
  bodyLimitBytes: v.optional(
    integerBetween({ min: 1, max: MAX_BODY_LIMIT_BYTES }),
    DEFAULT_CONFIG.bodyLimitBytes,
  ),
  ticketValidityMs: v.optional(
    integerBetween({ min: 100, max: 86_400_000 }),
    DEFAULT_CONFIG.ticketValidityMs,
  ),
  placement: v.optional(
    v.picklist(PLACEMENT_POLICIES, PLACEMENT_POLICIES.join(", ")),
    DEFAULT_CONFIG.placement as "powerOfTwo",
  ),
}, "a configuration object");

function areUnique(texts: readonly string[]): boolean {
  return new Set(texts).size === texts.length;
}
