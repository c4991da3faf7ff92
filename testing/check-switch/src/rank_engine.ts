/**
 * Minimal model of a lockstep rank. At most one step is on hold, and the rank
 * begins neither that step nor a later one. An order for a map replaces those
 * for the same or a later step. A rank without a map begins no step.
 */

import type { SettledMap } from "@dandelionbank/switch-map";

export interface RankEngine {
  /** The last step that the rank began. */
  readonly step: number;
  /** The step on hold; -1 for none. */
  readonly heldStep: number;
  readonly orders: readonly SettledMap[];
  /** Map version of each step begun since the rank started; 0 for none. */
  readonly mapOfStep: readonly number[];
}

export function createEngine(step: number): RankEngine {
  return { step, heldStep: -1, orders: [], mapOfStep: [] };
}

export function holdEngine(engine: RankEngine, step: number): RankEngine {
  return { ...engine, heldStep: step };
}

export function releaseEngine(engine: RankEngine, step: number): RankEngine {
  return engine.heldStep === step ? { ...engine, heldStep: -1 } : engine;
}

export function addMapOrder(engine: RankEngine, map: SettledMap): RankEngine {
  const earlier = engine.orders.filter((order) =>
    order.fromStep < map.fromStep
  );
  return { ...engine, orders: [...earlier, map] };
}

/** Returns the map version of the next step; 0 if the rank may not begin it. */
export function findMapForNextStep(engine: RankEngine): number {
  const next = engine.step + 1;
  if (engine.heldStep >= 0 && engine.heldStep <= next) return 0;
  const order = engine.orders.findLast((map) => map.fromStep <= next);
  return order?.mapVersion ?? 0;
}

export function beginStep(engine: RankEngine, mapVersion: number): RankEngine {
  const step = engine.step + 1;
  const mapOfStep = [...engine.mapOfStep];
  while (mapOfStep.length < step) mapOfStep.push(0);
  mapOfStep[step] = mapVersion;
  const latestApplied = engine.orders.findLastIndex((map) =>
    map.fromStep <= step
  );
  const orders = engine.orders.slice(Math.max(latestApplied, 0));
  return { ...engine, step, mapOfStep, orders };
}
