/** Replacement of an agent, or of a rank together with its agent. */

import type { RankOptions } from "@dandelionbank/switch-map";
import { createEngine } from "./rank_engine.ts";
import { startNode } from "./rank_node.ts";
import type { NodeResult, RankCore, RankNode } from "./rank_node.ts";

/** The map in the platform's record, which stays the same during a check. */
const FIRST_MAP = { mapVersion: 1, fromStep: 0 };

export const RECORDED_MAPS = {
  current: FIRST_MAP,
  previous: { mapVersion: 0, fromStep: 0 },
};

/**
 * Replaces an agent while its rank keeps running. The new agent knows only the
 * rank's current step and the map of that step.
 */
export function replaceAgent(
  core: RankCore,
  nodes: readonly RankNode[],
  rank: number,
): NodeResult {
  const { engine } = nodes[rank]!;
  const mapVersion = engine.mapOfStep[engine.step] ?? 0;
  const evidence = { step: engine.step, mapVersion };
  const options = { ...createOptions(nodes, rank), evidence };
  return startNode(core, { options, engine });
}

/**
 * Replaces a rank and its agent. The new rank repeats the step that its
 * predecessor had begun and not completed.
 */
export function replaceRank(
  core: RankCore,
  nodes: readonly RankNode[],
  rank: number,
): NodeResult {
  const latest = Math.max(...nodes.map((node) => node.engine.step));
  const engine = createEngine(Math.max(latest - 1, -1));
  const evidence = { step: engine.step, mapVersion: 0 };
  const options = { ...createOptions(nodes, rank), evidence };
  return startNode(core, { options, engine });
}

function createOptions(
  nodes: readonly RankNode[],
  rank: number,
): Omit<RankOptions, "evidence"> {
  const roster = nodes.map((node) => node.agent.self.incarnation);
  return {
    group: "g",
    self: { rank, incarnation: roster[rank]! + 1 },
    groupSize: roster.length,
    roster,
    recorded: RECORDED_MAPS,
    askIntervalMs: 0,
  };
}
