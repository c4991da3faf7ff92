/**
 * The classes of prom-client, each loaded from its own file. The main file of
 * prom-client also loads OpenTelemetry, `cluster` and a push gateway, which need
 * more resident memory than everything else here.
 */

import { createRequire } from "node:module";
import type * as prom from "prom-client";

const require = createRequire(import.meta.url);

export type Counter<Label extends string = string> = prom.Counter<Label>;
export type Gauge<Label extends string = string> = prom.Gauge<Label>;
export type Histogram<Label extends string = string> = prom.Histogram<Label>;
export type Registry = prom.Registry;

export const Counter: typeof prom.Counter = require("prom-client/lib/counter");
export const Gauge: typeof prom.Gauge = require("prom-client/lib/gauge");
export const Histogram: typeof prom.Histogram = require(
  "prom-client/lib/histogram",
);
export const Registry: typeof prom.Registry = require(
  "prom-client/lib/registry",
);
