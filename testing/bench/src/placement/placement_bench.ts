/**
 * Placement of requests on engines at several loads, with the same arrivals for
 * each policy: time to the first token, time between tokens, and the share of
 * requests that are served within the objectives.
 */

import {
  type Bench,
  type BenchReport,
  type BoundedFigure,
  evaluateFigure,
} from "../bench.ts";
import { runPlacement } from "./placement_run.ts";
import type { PlacementResult, PlacementVariant } from "./placement_run.ts";

/** Sizes of the site, each with the loads relative to its capacity. */
const SIZES = [
  {
    engines: 16,
    entries: 6,
    loads: [0.6, 0.8, 0.95, 1.2],
    durationMs: 20_000,
    warmUpMs: 5_000,
  },
  {
    engines: 1_700,
    entries: 340,
    loads: [0.95],
    durationMs: 4_000,
    warmUpMs: 2_000,
  },
];
const PRODUCT_VARIANT: PlacementVariant = {
  name: "dandelionbank",
  policy: "leastRequests",
  affinity: true,
};
const BASELINES: readonly PlacementVariant[] = [
  { name: "random", policy: "random", affinity: false },
  { name: "roundRobin", policy: "roundRobin", affinity: false },
  {
    name: "leastReported",
    policy: "random",
    affinity: false,
    reportsOnly: true,
  },
  { name: "leastRequests", policy: "leastRequests", affinity: false },
  { name: "powerOfTwo", policy: "powerOfTwo", affinity: false },
];

export const PLACEMENT_BENCH: Bench = {
  name: "placement",
  run({ seed }): Promise<BenchReport> {
    const figures: BoundedFigure[] = [];
    const baselines: Record<string, number> = {};
    for (const { loads, ...size } of SIZES) {
      for (const load of loads) {
        const setup = { ...size, load, seed };
        const label = `${size.engines}EnginesAt${Math.round(load * 100)}`;
        figures.push(
          ...createFigures(label, runPlacement(setup, PRODUCT_VARIANT), load),
        );
        for (const variant of BASELINES) {
          const result = runPlacement(setup, variant);
          for (const { name, value } of createFigures(label, result, load)) {
            baselines[`${variant.name}.${name}`] = value;
          }
        }
      }
    }
    return Promise.resolve({ figures: figures.map(evaluateFigure), baselines });
  },
};

function createFigures(
  label: string,
  result: PlacementResult,
  load: number,
): readonly BoundedFigure[] {
  const overload = load > 1 ? { bound: 95, boundKind: "least" as const } : {};
  return [
    {
      name: `firstTokenP99Of${label}Ms`,
      value: result.firstTokenP99Ms,
      unit: "ms",
    },
    {
      name: `betweenTokensP99Of${label}Ms`,
      value: result.betweenTokensP99Ms,
      unit: "ms",
    },
    {
      name: `goodputOf${label}Percent`,
      value: result.goodputPercent,
      unit: "%",
      ...overload,
    },
    {
      name: `refusedOf${label}Percent`,
      value: result.refusedPercent,
      unit: "%",
    },
  ];
}
