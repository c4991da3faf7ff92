/**
 * Breadth-first search over all reachable states of a group and its
 * coordinators.
 */

import {
  createGroupKey,
  type GroupModelOptions,
  GroupSwitchModel,
  type GroupWorld,
} from "./group_world.ts";
import type { Exploration } from "./explore.ts";

export interface GroupCheckOptions extends GroupModelOptions {
  readonly maxStates: number;
}

interface Visited {
  readonly parent: number;
  readonly action: string;
}

/** Finds the shortest path to a pass that begins with two maps. */
export function checkGroupSwitch(
  { maxStates, ...options }: GroupCheckOptions,
): Omit<Exploration, "continuations"> {
  const model = GroupSwitchModel.create(options);
  const first = model.createWorld();
  const keys = new Set([createGroupKey(first)]);
  const visited: Visited[] = [{ parent: -1, action: "start" }];
  const worlds: (GroupWorld | undefined)[] = [first];
  let transitions = 0;
  for (let index = 0; index < worlds.length; index++) {
    if (worlds.length > maxStates) break;
    const world = worlds[index]!;
    worlds[index] = undefined;
    for (const transition of model.listTransitions(world)) {
      const { action, violation } = transition;
      transitions += 1;
      if (violation !== undefined) {
        const path = [...tracePath(visited, index), action];
        const found = { detail: violation, path };
        return {
          states: worlds.length,
          transitions,
          truncated: false,
          violation: found,
        };
      }
      const key = createGroupKey(transition.world);
      if (keys.has(key)) continue;
      keys.add(key);
      visited.push({ parent: index, action });
      worlds.push(transition.world);
    }
  }
  const truncated = worlds.length > maxStates;
  return { states: worlds.length, transitions, truncated };
}

function tracePath(visited: readonly Visited[], last: number): string[] {
  const path: string[] = [];
  for (let index = last; index > 0; index = visited[index]!.parent) {
    path.unshift(visited[index]!.action);
  }
  return path;
}
