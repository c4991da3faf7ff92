/**
 * Transition system of a group of ranks with up to two coordinators, built on
 * the state machines of the product.
 *
 * A sent message may arrive at any later time, any number of times or never.
 * This covers all orders, losses, duplicates, delays and pauses without
 * counting them; only replacements and coordinator changes are counted. Time
 * does not advance, and every timer is always due. Steps that only add messages
 * are applied at once: they disable no other step, so no other order has to be
 * explored.
 */

import type { CoordinatorState } from "@dandelionbank/switch-map";
import { CoordinatorModel } from "./coordinator_model.ts";
import type { CoordinatorResult } from "./coordinator_model.ts";
import { ADVANCE, internAll, KEYS_PER_STATE, TICK } from "./keys.ts";
import { Interner } from "./interner.ts";
import { advanceNode, stepNode } from "./rank_node.ts";
import type {
  NodeResult,
  RankCore,
  RankNode,
  SentMessage,
} from "./rank_node.ts";
import { replaceAgent, replaceRank } from "./replacement.ts";
import type { Action, Transition, World } from "./world.ts";
import { ENDED, equalsExceptCompleted, NOT_STARTED } from "./world.ts";

export interface ModelOptions {
  readonly core: RankCore;
  readonly lastStep: number;
  /** The second coordinator, as it is when it starts. */
  readonly successor: {
    readonly state: CoordinatorState;
    readonly sent: readonly SentMessage[];
  };
}

/** The result of a node's step, with the new node and its messages interned. */
export interface InternedResult extends CoordinatorResult {
  readonly violations: readonly string[];
}

export class Model {
  readonly nodes = Interner.create<RankNode>();
  readonly coordinators = Interner.create<CoordinatorState>();
  readonly messages = Interner.create<SentMessage>();
  readonly options: ModelOptions;
  readonly #nodeResults = new Map<number, InternedResult | undefined>();
  readonly #coordinatorModel = CoordinatorModel.create(
    this.coordinators,
    this.messages,
  );

  static create(options: ModelOptions): Model {
    return new Model(options);
  }

  private constructor(options: ModelOptions) {
    this.options = options;
  }

  listTransitions(world: World): readonly Transition[] {
    return [
      ...world.network.flatMap((subject) => this.#deliver(world, subject)),
      ...world.nodes.flatMap((_, rank) => this.#advance(world, rank)),
      ...world.nodes.flatMap((_, rank) => this.#replace(world, rank)),
      ...this.#startCoordinator(world),
    ];
  }

  /** Applies all steps that only add messages or count votes, to a fixed point. */
  saturate(world: World): World {
    let saturated = this.#dropIrrelevantMessages(world);
    for (;;) {
      const next = this.#dropIrrelevantMessages(
        this.#applyCommutingSteps(saturated),
      );
      if (equalsExceptCompleted(saturated, next)) return saturated;
      saturated = next;
    }
  }

  describe(action: Action): string {
    const { kind, subject } = action;
    if (kind !== "deliver") return `${kind} ${subject}`;
    return `deliver ${JSON.stringify(this.messages.get(subject))}`;
  }

  /** Steps an interned node; `key` is a message id, `ADVANCE` or `TICK`. */
  stepNode(id: number, key: number): InternedResult | undefined {
    const cacheKey = id * KEYS_PER_STATE + key + 2;
    if (this.#nodeResults.has(cacheKey)) return this.#nodeResults.get(cacheKey);
    const result = this.#computeNodeResult(this.nodes.get(id), key);
    const interned = result && this.#internResult(result);
    this.#nodeResults.set(cacheKey, interned);
    return interned;
  }

  #computeNodeResult(node: RankNode, key: number): NodeResult | undefined {
    const { core } = this.options;
    if (key === ADVANCE) return advanceNode(core, node);
    if (key === TICK) return stepNode(core, node, { type: "tick" });
    const { message } = this.messages.get(key);
    return stepNode(core, node, { type: "message", message });
  }

  #internResult(result: NodeResult): InternedResult {
    const { violations } = result;
    const id = this.nodes.intern(result.node);
    return { id, sent: this.#internMessages(result.sent), violations };
  }

  #deliver(world: World, subject: number): readonly Transition[] {
    const { to } = this.messages.get(subject);
    const action = { kind: "deliver", subject } as const;
    if (to.kind === "coordinator") {
      const index = to.fencingNumber - 1;
      const next = this.#stepCoordinator(world, index, subject);
      if (equalsExceptCompleted(world, next)) return [];
      return [{ action, world: this.saturate(next), violations: [] }];
    }
    const result = this.stepNode(world.nodes[to.rank]!, subject);
    return this.#applyRank(world, action, { rank: to.rank, result });
  }

  #advance(world: World, rank: number): readonly Transition[] {
    const steps = world.nodes.map((id) => this.nodes.get(id).engine.step);
    const step = steps[rank]!;
    if (step >= this.options.lastStep || step > Math.min(...steps)) return [];
    const result = this.stepNode(world.nodes[rank]!, ADVANCE);
    const action = { kind: "advance", subject: rank } as const;
    return this.#applyRank(world, action, { rank, result });
  }

  #replace(world: World, rank: number): readonly Transition[] {
    if (world.replacementsLeft === 0) return [];
    const replacementsLeft = world.replacementsLeft - 1;
    const afterReplacement = { ...world, replacementsLeft };
    const nodes = world.nodes.map((id) => this.nodes.get(id));
    const { core } = this.options;
    return [
      ...this.#applyRank(afterReplacement, {
        kind: "replaceAgent",
        subject: rank,
      }, {
        rank,
        result: this.#internResult(replaceAgent(core, nodes, rank)),
      }),
      ...this.#applyRank(afterReplacement, {
        kind: "replaceRank",
        subject: rank,
      }, {
        rank,
        result: this.#internResult(replaceRank(core, nodes, rank)),
      }),
    ];
  }

  #applyRank(
    world: World,
    action: Action,
    change: {
      readonly rank: number;
      readonly result: InternedResult | undefined;
    },
  ): readonly Transition[] {
    const { rank, result } = change;
    if (result === undefined) return [];
    const nodes = world.nodes.with(rank, result.id);
    const next = this.#send({ ...world, nodes }, result.sent);
    const conflicts = action.kind === "advance"
      ? this.#findMapConflict(next, rank)
      : [];
    const violations = [...result.violations, ...conflicts];
    if (violations.length === 0 && equalsExceptCompleted(world, next)) {
      return [];
    }
    const completed = this.#completeSteps(next);
    return [{
      action,
      world: this.saturate({ ...next, completed }),
      violations,
    }];
  }

  /**
   * Compares the map of the step that the rank just began with the maps under
   * which the other ranks ran this step, and with that of completed steps.
   */
  #findMapConflict(world: World, rank: number): readonly string[] {
    const engines = world.nodes.map((id) => this.nodes.get(id).engine);
    const { step, mapOfStep } = engines[rank]!;
    const mapVersion = mapOfStep[step]!;
    const otherMaps = [
      world.completed[step] ?? 0,
      ...engines.map((engine) => engine.mapOfStep[step] ?? 0),
    ];
    const conflict = otherMaps.find((map) => map !== 0 && map !== mapVersion);
    if (conflict === undefined) return [];
    return [`Step ${step} under maps ${mapVersion} and ${conflict}`];
  }

  #completeSteps(world: World): readonly number[] {
    const engines = world.nodes.map((id) => this.nodes.get(id).engine);
    const lowest = Math.min(...engines.map((engine) => engine.step));
    if (lowest < world.completed.length) return world.completed;
    const maps = engines.map((engine) => engine.mapOfStep[lowest] ?? 0);
    if (maps.includes(0)) return world.completed;
    return [...world.completed, maps[0]!];
  }

  /** Starts the second coordinator while the first one keeps running. */
  #startCoordinator(world: World): readonly Transition[] {
    if (world.coordinators[1] !== NOT_STARTED || world.changesLeft === 0) {
      return [];
    }
    const { state, sent } = this.options.successor;
    const id = this.coordinators.intern(state);
    const coordinators = world.coordinators.with(1, id);
    const changesLeft = world.changesLeft - 1;
    const next = this.#send(
      { ...world, coordinators, changesLeft },
      this.#internMessages(sent),
    );
    const action = { kind: "startCoordinator", subject: 2 } as const;
    return [{ action, world: this.saturate(next), violations: [] }];
  }

  #applyCommutingSteps(world: World): World {
    let next = world;
    for (const subject of world.network) {
      const { to } = this.messages.get(subject);
      next = to.kind === "rank"
        ? this.#sendReplies(next, to.rank, subject)
        : this.#countVote(next, to.fencingNumber - 1, subject);
    }
    world.nodes.forEach((_, rank) => {
      next = this.#sendReplies(next, rank, TICK, true);
    });
    world.coordinators.forEach((_, index) => {
      next = this.#stepCoordinator(next, index, TICK);
    });
    return next;
  }

  /**
   * Sends the replies to a message that leaves the node's state unchanged. With
   * `allowStateChange`, as for a timer, a changed state is applied as well.
   */
  #sendReplies(
    world: World,
    rank: number,
    key: number,
    allowStateChange = false,
  ): World {
    const id = world.nodes[rank]!;
    const result = this.stepNode(id, key);
    if (result === undefined || result.violations.length > 0) return world;
    if (result.id === id) return this.#send(world, result.sent);
    if (!allowStateChange) return world;
    const nodes = world.nodes.with(rank, result.id);
    return this.#send({ ...world, nodes }, result.sent);
  }

  /** Counts a vote that sends nothing: such a step commutes with all others. */
  #countVote(world: World, index: number, subject: number): World {
    const next = this.#stepCoordinator(world, index, subject);
    return next.network === world.network && next.coordinators[index] !== ENDED
      ? next
      : world;
  }

  #stepCoordinator(world: World, index: number, key: number): World {
    const id = world.coordinators[index] ?? NOT_STARTED;
    if (id < 0) return world;
    const result = this.#coordinatorModel.step(id, key);
    const coordinators = result.id === id
      ? world.coordinators
      : world.coordinators.with(index, result.id);
    const after = result.id === id ? world : { ...world, coordinators };
    return this.#send(after, result.sent);
  }

  #internMessages(sent: readonly SentMessage[]): readonly number[] {
    return internAll(this.messages, sent);
  }

  #send(world: World, sent: readonly number[]): World {
    const unsent = sent.filter((id) => !world.network.includes(id));
    if (unsent.length === 0) return world;
    const network = [...new Set([...world.network, ...unsent])];
    return { ...world, network: network.sort((a, b) => a - b) };
  }

  /** Removes messages that the recipient and its successors will always ignore. */
  #dropIrrelevantMessages(world: World): World {
    const network = world.network.filter((id) =>
      !this.#isIrrelevant(world, id)
    );
    return network.length < world.network.length
      ? { ...world, network }
      : world;
  }

  #isIrrelevant(world: World, subject: number): boolean {
    const { to, message } = this.messages.get(subject);
    if (to.kind === "coordinator") {
      return world.coordinators[to.fencingNumber - 1]! === ENDED;
    }
    if ("fencingNumber" in message) return false;
    const { agent } = this.nodes.get(world.nodes[to.rank]!);
    const { from } = message;
    if (from.incarnation < agent.incarnations[from.rank]!) return true;
    if (message.type !== "status" || message.join === undefined) return false;
    const hasNewerIncarnation = message.incarnations
      .some((incarnation, rank) => incarnation > agent.incarnations[rank]!);
    if (hasNewerIncarnation) return false;
    return message.join.incarnation < agent.self.incarnation ||
      agent.join === undefined || message.join.round < agent.join.round;
  }
}
