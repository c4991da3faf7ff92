/**
 * Every transition of a group of ranks with up to two coordinators. The cores
 * are the product's.
 *
 * A message that was sent may arrive at any later time, any number of times or
 * never. So all orders, losses, duplicates, delays and pauses are covered
 * without counting them; only replacements are counted. Time stands still and
 * every timer is due. What only adds messages is done at once: it disables
 * nothing, so no other order has to be explored.
 */

import type { CoordinatorState } from "@dandelionbank/switch-map";
import { CoordinatorModel } from "./coordinator_model.ts";
import type { CoordinatorResult } from "./coordinator_model.ts";
import { ADVANCE, internAll, KEYS_PER_STATE, TICK } from "./keys.ts";
import { Interner } from "./interner.ts";
import { advanceNode, stepNode } from "./rank_node.ts";
import type { NodeResult, RankCore, RankNode, Sent } from "./rank_node.ts";
import { replaceAgent, replaceRank } from "./replacement.ts";
import type { Action, Transition, World } from "./world.ts";
import { ENDED, isSame, NONE } from "./world.ts";

export interface ModelOptions {
  readonly core: RankCore;
  readonly lastStep: number;
  /** The coordinator that may take over. */
  readonly successor: {
    readonly state: CoordinatorState;
    readonly sent: readonly Sent[];
  };
}

/** What a node does, by the numbers of the node and the messages after it. */
export interface NumberedResult extends CoordinatorResult {
  readonly violations: readonly string[];
}

export class Model {
  readonly nodes = Interner.create<RankNode>();
  readonly coordinators = Interner.create<CoordinatorState>();
  readonly messages = Interner.create<Sent>();
  readonly options: ModelOptions;
  readonly #nodeResults = new Map<number, NumberedResult | undefined>();
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

  /** Does at once whatever only adds messages or counts votes. */
  settle(world: World): World {
    let settled = this.#dropDead(world);
    for (;;) {
      const next = this.#dropDead(this.#addMessages(settled));
      if (isSame(settled, next)) return settled;
      settled = next;
    }
  }

  describe(action: Action): string {
    const { kind, subject } = action;
    if (kind !== "deliver") return `${kind} ${subject}`;
    return `deliver ${JSON.stringify(this.messages.get(subject))}`;
  }

  /** `key` is a message, `ADVANCE` or `TICK`. */
  stepNode(id: number, key: number): NumberedResult | undefined {
    const fullKey = id * KEYS_PER_STATE + key + 2;
    if (this.#nodeResults.has(fullKey)) return this.#nodeResults.get(fullKey);
    const result = this.#computeNode(this.nodes.get(id), key);
    const numbered = result && this.#number(result);
    this.#nodeResults.set(fullKey, numbered);
    return numbered;
  }

  #computeNode(node: RankNode, key: number): NodeResult | undefined {
    const { core } = this.options;
    if (key === ADVANCE) return advanceNode(core, node);
    if (key === TICK) return stepNode(core, node, { type: "tick" });
    const { message } = this.messages.get(key);
    return stepNode(core, node, { type: "message", message });
  }

  #number(result: NodeResult): NumberedResult {
    const { violations } = result;
    const id = this.nodes.intern(result.node);
    return { id, sent: this.#intern(result.sent), violations };
  }

  #deliver(world: World, subject: number): readonly Transition[] {
    const { to } = this.messages.get(subject);
    const action = { kind: "deliver", subject } as const;
    if (to.kind === "coordinator") {
      const index = to.fencingNumber - 1;
      const next = this.#stepCoordinator(world, index, subject);
      if (isSame(world, next)) return [];
      return [{ action, world: this.settle(next), violations: [] }];
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
    const after = { ...world, replacementsLeft };
    const nodes = world.nodes.map((id) => this.nodes.get(id));
    const { core } = this.options;
    return [
      ...this.#applyRank(after, { kind: "replaceAgent", subject: rank }, {
        rank,
        result: this.#number(replaceAgent(core, nodes, rank)),
      }),
      ...this.#applyRank(after, { kind: "replaceRank", subject: rank }, {
        rank,
        result: this.#number(replaceRank(core, nodes, rank)),
      }),
    ];
  }

  #applyRank(
    world: World,
    action: Action,
    change: {
      readonly rank: number;
      readonly result: NumberedResult | undefined;
    },
  ): readonly Transition[] {
    const { rank, result } = change;
    if (result === undefined) return [];
    const nodes = world.nodes.with(rank, result.id);
    const next = this.#send({ ...world, nodes }, result.sent);
    const clash = action.kind === "advance" ? this.#findClash(next, rank) : [];
    const violations = [...result.violations, ...clash];
    if (violations.length === 0 && isSame(world, next)) return [];
    const completed = this.#completeSteps(next);
    return [{ action, world: this.settle({ ...next, completed }), violations }];
  }

  /** The step that a rank just began, against all others and the past. */
  #findClash(world: World, rank: number): readonly string[] {
    const engines = world.nodes.map((id) => this.nodes.get(id).engine);
    const { step, mapOfStep } = engines[rank]!;
    const mapVersion = mapOfStep[step]!;
    const others = [
      world.completed[step] ?? 0,
      ...engines.map((engine) => engine.mapOfStep[step] ?? 0),
    ];
    const clash = others.find((map) => map !== 0 && map !== mapVersion);
    if (clash === undefined) return [];
    return [`Step ${step} under maps ${mapVersion} and ${clash}`];
  }

  #completeSteps(world: World): readonly number[] {
    const engines = world.nodes.map((id) => this.nodes.get(id).engine);
    const lowest = Math.min(...engines.map((engine) => engine.step));
    if (lowest < world.completed.length) return world.completed;
    const maps = engines.map((engine) => engine.mapOfStep[lowest] ?? 0);
    if (maps.includes(0)) return world.completed;
    return [...world.completed, maps[0]!];
  }

  /** The successor starts; the first one goes on. */
  #startCoordinator(world: World): readonly Transition[] {
    if (world.coordinators[1] !== NONE || world.changesLeft === 0) return [];
    const { state, sent } = this.options.successor;
    const id = this.coordinators.intern(state);
    const coordinators = world.coordinators.with(1, id);
    const changesLeft = world.changesLeft - 1;
    const next = this.#send(
      { ...world, coordinators, changesLeft },
      this.#intern(sent),
    );
    const action = { kind: "startCoordinator", subject: 2 } as const;
    return [{ action, world: this.settle(next), violations: [] }];
  }

  #addMessages(world: World): World {
    let next = world;
    for (const subject of world.network) {
      const { to } = this.messages.get(subject);
      next = to.kind === "rank"
        ? this.#addReplies(next, to.rank, subject)
        : this.#countVote(next, to.fencingNumber - 1, subject);
    }
    world.nodes.forEach((_, rank) => {
      next = this.#addReplies(next, rank, TICK, true);
    });
    world.coordinators.forEach((_, index) => {
      next = this.#stepCoordinator(next, index, TICK);
    });
    return next;
  }

  /** A rank's timer, or a message that leaves the rank's node as it is. */
  #addReplies(world: World, rank: number, key: number, change = false): World {
    const id = world.nodes[rank]!;
    const result = this.stepNode(id, key);
    if (result === undefined || result.violations.length > 0) return world;
    if (result.id === id) return this.#send(world, result.sent);
    if (!change) return world;
    const nodes = world.nodes.with(rank, result.id);
    return this.#send({ ...world, nodes }, result.sent);
  }

  /** A vote that sends nothing commutes with everything else. */
  #countVote(world: World, index: number, subject: number): World {
    const next = this.#stepCoordinator(world, index, subject);
    return next.network === world.network && next.coordinators[index] !== ENDED
      ? next
      : world;
  }

  #stepCoordinator(world: World, index: number, key: number): World {
    const id = world.coordinators[index] ?? NONE;
    if (id < 0) return world;
    const result = this.#coordinatorModel.step(id, key);
    const coordinators = result.id === id
      ? world.coordinators
      : world.coordinators.with(index, result.id);
    const after = result.id === id ? world : { ...world, coordinators };
    return this.#send(after, result.sent);
  }

  #intern(sent: readonly Sent[]): readonly number[] {
    return internAll(this.messages, sent);
  }

  #send(world: World, sent: readonly number[]): World {
    const news = sent.filter((id) => !world.network.includes(id));
    if (news.length === 0) return world;
    const network = [...new Set([...world.network, ...news])];
    return { ...world, network: network.sort((a, b) => a - b) };
  }

  /** Leaves out messages that their recipient, or a successor, ignores for ever. */
  #dropDead(world: World): World {
    const network = world.network.filter((id) => !this.#isDead(world, id));
    return network.length < world.network.length
      ? { ...world, network }
      : world;
  }

  #isDead(world: World, subject: number): boolean {
    const { to, message } = this.messages.get(subject);
    if (to.kind === "coordinator") {
      return world.coordinators[to.fencingNumber - 1]! === ENDED;
    }
    if ("fencingNumber" in message) return false;
    const { agent } = this.nodes.get(world.nodes[to.rank]!);
    const { from } = message;
    if (from.incarnation < agent.incarnations[from.rank]!) return true;
    if (message.type !== "status" || message.join === undefined) return false;
    const news = message.incarnations
      .some((incarnation, rank) => incarnation > agent.incarnations[rank]!);
    if (news) return false;
    return message.join.incarnation < agent.self.incarnation ||
      agent.join === undefined || message.join.round < agent.join.round;
  }
}
