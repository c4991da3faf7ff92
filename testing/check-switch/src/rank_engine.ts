/**
 * The least that a lock-step rank does. It is held at one step at most, and
 * begins neither that nor a later one. An order for a map replaces those for the same or a later step. A rank
 * without a map begins no step.
 */

import type { SettledMap } from "@dandelionbank/switch-map";

export interface RankEngine {
  /** The last step that it began. */
  readonly step: number;
  /** -1 for none. */
  readonly heldStep: number;
  readonly orders: readonly SettledMap[];
  /** The map of each step that it began since it started; 0 for none. */
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

export function orderMap(engine: RankEngine, map: SettledMap): RankEngine {
  const kept = engine.orders.filter((other) => other.fromStep < map.fromStep);
  return { ...engine, orders: [...kept, map] };
}

/** The map under which it would begin its next step; 0 if it may not begin. */
export function findNextMap(engine: RankEngine): number {
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
  const passed = engine.orders.findLastIndex((map) => map.fromStep <= step);
  const orders = engine.orders.slice(Math.max(passed, 0));
  return { ...engine, step, mapOfStep, orders };
}
