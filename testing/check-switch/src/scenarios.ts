/** Initial states from which every order of events is explored. */

import type {
  CoordinatorState,
  MapProposal,
  RankOptions,
} from "@dandelionbank/switch-map";
import {
  startCoordinator,
  startRank,
  stepCoordinator,
  stepRank,
  VERSIONS_PER_HOLDER,
} from "@dandelionbank/switch-map";
import { explore } from "./explore.ts";
import type { Exploration } from "./explore.ts";
import { Model } from "./model.ts";
import { createEngine } from "./rank_engine.ts";
import { advanceNode, startNode, stepNode } from "./rank_node.ts";
import type { RankCore, RankNode, SentMessage } from "./rank_node.ts";
import { RECORDED_MAPS } from "./replacement.ts";
import { ENDED, NOT_STARTED } from "./world.ts";

/**
 * `handOver`: the second coordinator queries the ranks for an open proposal and
 * settles it. `rivals`: the second coordinator proposes another map for the
 * same step while the first one keeps running. `promised`: every rank has
 * promised, and the first coordinator ended after it sent the certificates; the
 * second one settles the proposal.
 */
export type ScenarioName = "handOver" | "rivals" | "promised";

export interface CheckOptions {
  readonly scenario: ScenarioName;
  /** Maximum number of replacements of an agent or a rank. */
  readonly replacements: number;
  /** Maximum number of coordinator changes, 0 or 1. */
  readonly changes: number;
  readonly maxStates: number;
  /**
   * Whether to check from every state that the group can finish once faults
   * end; true if absent.
   */
  readonly progress?: boolean;
  readonly core?: RankCore;
}

interface StartedCoordinator {
  readonly state: CoordinatorState;
  readonly sent: readonly SentMessage[];
}

const GROUP_SIZE = 3;
export const SWITCH_STEP = 1;
const LAST_STEP = 2;
const RANKS = Array.from({ length: GROUP_SIZE }, (_, rank) => rank);

export const PRODUCT_CORE: RankCore = { start: startRank, step: stepRank };

export function checkSwitch(options: CheckOptions): Exploration {
  const core = options.core ?? PRODUCT_CORE;
  const { scenario, maxStates, progress = true } = options;
  const successor = scenario === "rivals"
    ? startProposing(2)
    : startSuccessor();
  const model = Model.create({ core, lastStep: LAST_STEP, successor });
  const firstCoordinator = startProposing(1);
  const initial = { nodes: startGroup(core), sent: firstCoordinator.sent };
  const { nodes, sent } = scenario === "promised"
    ? createAllPromised(core, initial.nodes)
    : initial;
  const network = sent.map(({ to, message }) =>
    model.messages.intern({ to, message })
  );
  const world = {
    nodes: nodes.map((node) => model.nodes.intern(node)),
    coordinators: [
      scenario === "promised"
        ? ENDED
        : model.coordinators.intern(firstCoordinator.state),
      NOT_STARTED,
    ],
    network: network.sort((a, b) => a - b),
    completed: [RECORDED_MAPS.current.mapVersion],
    replacementsLeft: options.replacements,
    changesLeft: options.changes,
  };
  return explore(model, world, { maxStates, progress });
}

function createAllPromised(core: RankCore, nodes: readonly RankNode[]) {
  const proposal = createProposal(1);
  const { mapVersion, fencingNumber } = proposal;
  const propose = { type: "propose", fencingNumber, proposal } as const;
  const promised = nodes.map((node) =>
    stepNode(core, node, { type: "message", message: propose }).node
  );
  const sent = RANKS.map((rank) => ({
    to: { kind: "rank", rank } as const,
    message: {
      type: "certificate",
      fencingNumber,
      mapVersion,
      promisedBy: RANKS.map(() => 1),
    } as const,
  }));
  return { nodes: promised, sent };
}

/** Starts agents that have joined each other, began step 0 and staged both maps. */
function startGroup(core: RankCore): readonly RankNode[] {
  const results = RANKS.map((rank) =>
    startNode(core, { options: createOptions(rank), engine: createEngine(-1) })
  );
  const nodes = results.map((result) => result.node);
  deliverAll(core, nodes, results.flatMap((result) => result.sent));
  return nodes.map((node) => {
    const begun = advanceNode(core, node)?.node ?? node;
    return [createProposal(1), createProposal(2)].reduce(
      (staged, { mapVersion }) =>
        stepNode(core, staged, { type: "mapStaged", mapVersion }).node,
      begun,
    );
  });
}

function deliverAll(
  core: RankCore,
  nodes: RankNode[],
  sent: readonly SentMessage[],
): void {
  const queue = [...sent];
  for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
    const { to, message } = next;
    if (to.kind !== "rank") continue;
    const event = { type: "message", message } as const;
    const result = stepNode(core, nodes[to.rank]!, event);
    nodes[to.rank] = result.node;
    queue.push(...result.sent);
  }
}

export function createOptions(rank: number, size = GROUP_SIZE): RankOptions {
  return {
    group: "g",
    self: { rank, incarnation: 1 },
    groupSize: size,
    roster: Array.from({ length: size }, () => 1),
    recorded: RECORDED_MAPS,
    evidence: { step: -1, mapVersion: 0 },
    askIntervalMs: 0,
  };
}

export function createProposal(fencingNumber: number): MapProposal {
  return {
    mapVersion: fencingNumber * VERSIONS_PER_HOLDER + 1,
    fromStep: SWITCH_STEP,
    baseVersion: RECORDED_MAPS.current.mapVersion,
    fencingNumber,
  };
}

function startSuccessor(): StartedCoordinator {
  const { state, effects } = startCoordinator(createCoordinatorOptions(2), 0);
  return { state, sent: effects.filter((effect) => effect.type === "send") };
}

/** Starts a coordinator that has just proposed its map to every rank. */
function startProposing(fencingNumber: number): StartedCoordinator {
  const started =
    startCoordinator(createCoordinatorOptions(fencingNumber), 0).state;
  const idle: CoordinatorState = {
    ...started,
    phase: { kind: "idle" },
    current: RECORDED_MAPS.current,
  };
  const planned = stepCoordinator(idle, { type: "plan" }, 0);
  const { mapVersion } = createProposal(fencingNumber);
  let result = planned;
  for (const rank of RANKS) {
    const from = { rank, incarnation: 1 };
    const message = { type: "staged", from, mapVersion, step: 0 } as const;
    result = stepCoordinator(result.state, { type: "message", message }, 0);
  }
  const sent = result.effects.filter((effect) => effect.type === "send");
  return { state: result.state, sent };
}

function createCoordinatorOptions(fencingNumber: number) {
  return {
    group: "g",
    groupSize: GROUP_SIZE,
    fencingNumber,
    leadSteps: SWITCH_STEP,
    resendIntervalMs: 0,
    stageTimeoutMs: 1,
  };
}
