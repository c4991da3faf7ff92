/** Measures one map switch of a large group without faults, for the bench. */

import { GroupWorld } from "./group_world.ts";

export interface SwitchOptions {
  readonly seed: number;
  readonly size: number;
  readonly delayMs: number;
  readonly leadSteps: number;
  /** Whether to stop the coordinator once it has sent its proposal. */
  readonly stopCoordinator: boolean;
}

export interface SwitchFigures {
  /** Number of times that a rank could have begun a step but was held. */
  readonly stepsHeld: number;
  readonly messages: number;
  readonly bytes: number;
  /** Time from the plan to the first step of all ranks under the new map. */
  readonly planToActiveMs: number;
  /** Part of that time for staging, which depends on the simulated weight store. */
  readonly stagingMs: number;
  readonly violations: readonly string[];
}

/** Every agent has joined the group by this time. */
const JOINED_BY_MS = 1_000;
const LIMIT_MS = 10_000;

export function measureSwitch(options: SwitchOptions): SwitchFigures {
  const { seed, size, delayMs } = options;
  const world = GroupWorld.create({
    seed,
    size,
    minDelayMs: delayMs,
    maxDelayMs: delayMs,
  });
  const { queue, report } = world;
  queue.runAt(
    JOINED_BY_MS / 2,
    () => world.startCoordinator(options.leadSteps),
  );
  queue.runUntilQuiet({ limitMs: JOINED_BY_MS });
  const traffic = { messages: 0, bytes: 0 };
  world.traffic = traffic;
  const heldBefore = report.outcomes["stepsHeld"] ?? 0;
  world.latestCoordinator!.handle({ type: "plan" });
  runUntil(world, () => hasProposed(world));
  const proposedMs = queue.nowMs;
  if (options.stopCoordinator) queue.stop(world.latestCoordinator!.name);
  runUntil(world, () => isMapActive(world));
  return {
    stepsHeld: (report.outcomes["stepsHeld"] ?? 0) - heldBefore,
    ...traffic,
    planToActiveMs: queue.nowMs - JOINED_BY_MS,
    stagingMs: proposedMs - JOINED_BY_MS,
    violations: report.violations,
  };
}

function runUntil(world: GroupWorld, isDone: () => boolean): void {
  const { queue } = world;
  while (!isDone() && queue.nowMs < LIMIT_MS) {
    queue.runUntilQuiet({ limitMs: queue.nowMs + 1 });
  }
}

function hasProposed(world: GroupWorld): boolean {
  return world.latestCoordinator!.state.phase.kind === "voting";
}

/** Returns whether every rank has begun a step under the new map. */
function isMapActive(world: GroupWorld): boolean {
  return world.vms.every(({ rank, state }) =>
    state.current.mapVersion > 1 && rank.step >= state.current.fromStep
  );
}
