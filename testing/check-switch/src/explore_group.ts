/**
 * Breadth-first search over all reachable states of a group and its
 * coordinators.
 */

import {
  type GroupModelOptions,
  GroupSwitchModel,
} from "./group_switch_model.ts";
import { createGroupKey, type GroupWorld } from "./group_world.ts";
import type { Exploration } from "./explore.ts";

export interface GroupCheckOptions extends GroupModelOptions {
  readonly maxStates: number;
  /** One in so many states is checked for liveness. */
  readonly livenessInterval: number;
}

interface Visited {
  readonly parent: number;
  readonly action: string;
}

/**
 * Finds the shortest path to a pass that begins with two maps, or a state from
 * which the group cannot go on.
 */
export function checkGroupSwitch(
  { maxStates, livenessInterval, ...options }: GroupCheckOptions,
): Exploration {
  const model = GroupSwitchModel.create(options);
  const first = model.createWorld();
  const keys = new Set([createGroupKey(first)]);
  const visited: Visited[] = [{ parent: -1, action: "start" }];
  const worlds: (GroupWorld | undefined)[] = [first];
  let transitions = 0;
  let continuations = 0;
  const summarize = () => ({
    states: worlds.length,
    transitions,
    continuations,
    truncated: worlds.length > maxStates,
  });
  for (let index = 0; index < worlds.length; index++) {
    if (worlds.length > maxStates) break;
    const world = worlds[index]!;
    worlds[index] = undefined;
    if (index % livenessInterval === livenessInterval - 1) {
      continuations += 1;
      if (!model.canFinish(world)) {
        const path = tracePath(visited, index);
        const violation = { detail: "the group cannot go on", path };
        return { ...summarize(), violation };
      }
    }
    for (const transition of model.listTransitions(world)) {
      const { action, violation: detail } = transition;
      transitions += 1;
      if (detail !== undefined) {
        const path = [...tracePath(visited, index), action];
        return { ...summarize(), violation: { detail, path } };
      }
      const key = createGroupKey(transition.world);
      if (keys.has(key)) continue;
      keys.add(key);
      visited.push({ parent: index, action });
      worlds.push(transition.world);
    }
  }
  return summarize();
}

function tracePath(visited: readonly Visited[], last: number): string[] {
  const path: string[] = [];
  for (let index = last; index > 0; index = visited[index]!.parent) {
    path.unshift(visited[index]!.action);
  }
  return path;
}
