/** A group whose messages a test delivers, drops or withholds one by one. */

import type {
  CoordinatorMessage,
  MapProposal,
  RankEvent,
} from "@dandelionbank/switch-map";
import { createEngine } from "./rank_engine.ts";
import { replaceAgent, replaceRank } from "./replacement.ts";
import { advanceNode, startNode, stepNode } from "./rank_node.ts";
import type { NodeResult, RankNode, SentMessage } from "./rank_node.ts";
import { createOptions, createProposal, PRODUCT_CORE } from "./scenarios.ts";

export class GroupFixture {
  readonly violations: string[] = [];
  queue: SentMessage[] = [];
  #nodes: RankNode[];

  /** Creates a group that has joined, began step 0 and staged both proposals' maps. */
  static create(size = 3): GroupFixture {
    const group = new GroupFixture(size);
    group.deliverAll();
    group.advanceAll();
    for (const rank of group.ranks) group.stageMaps(rank);
    return group;
  }

  private constructor(size: number) {
    const results = Array.from(
      { length: size },
      (_, rank) =>
        startNode(PRODUCT_CORE, {
          options: createOptions(rank, size),
          engine: createEngine(-1),
        }),
    );
    this.#nodes = results.map((result) => result.node);
    for (const result of results) this.queue.push(...result.sent);
  }

  get ranks(): readonly number[] {
    return this.#nodes.map((_, rank) => rank);
  }

  node(rank: number): RankNode {
    return this.#nodes[rank]!;
  }

  /** Current map version of each agent, by rank. */
  get mapVersions(): readonly number[] {
    return this.#nodes.map((node) => node.agent.current.mapVersion);
  }

  get steps(): readonly number[] {
    return this.#nodes.map((node) => node.engine.step);
  }

  propose(ranks: readonly number[], fencingNumber = 1): MapProposal {
    const proposal = createProposal(fencingNumber);
    for (const rank of ranks) {
      this.sendFromCoordinator(rank, {
        type: "propose",
        fencingNumber,
        proposal,
      });
    }
    return proposal;
  }

  sendFromCoordinator(rank: number, message: CoordinatorMessage): void {
    this.handleEvent(rank, { type: "message", message });
  }

  handleEvent(rank: number, event: RankEvent): void {
    this.#applyResult(rank, stepNode(PRODUCT_CORE, this.node(rank), event));
  }

  tickAll(): void {
    for (const rank of this.ranks) this.handleEvent(rank, { type: "tick" });
  }

  stageMaps(rank: number): void {
    for (const fencingNumber of [1, 2]) {
      const { mapVersion } = createProposal(fencingNumber);
      this.handleEvent(rank, { type: "mapStaged", mapVersion });
    }
  }

  /** Begins the next step of every rank that may begin it. */
  advanceAll(): void {
    for (const rank of this.ranks) {
      if (this.node(rank).engine.step > Math.min(...this.steps)) continue;
      const result = advanceNode(PRODUCT_CORE, this.node(rank));
      if (result !== undefined) this.#applyResult(rank, result);
    }
  }

  replaceAgent(rank: number): void {
    this.#applyResult(rank, replaceAgent(PRODUCT_CORE, this.#nodes, rank));
  }

  replaceRank(rank: number): void {
    this.#applyResult(rank, replaceRank(PRODUCT_CORE, this.#nodes, rank));
  }

  /** Removes the matching messages from the queue and returns them. */
  withhold(matches: (sent: SentMessage) => boolean): readonly SentMessage[] {
    const withheld = this.queue.filter(matches);
    this.queue = this.queue.filter((sent) => !matches(sent));
    return withheld;
  }

  deliverAll(): void {
    for (let next = this.queue.shift(); next; next = this.queue.shift()) {
      this.deliver(next);
    }
  }

  deliver(sent: SentMessage): void {
    const { to, message } = sent;
    if (to.kind === "rank") {
      this.handleEvent(to.rank, { type: "message", message });
    }
  }

  /** Runs rounds in which timers fire, messages arrive and ranks advance. */
  runRounds(rounds = 6): void {
    for (let round = 0; round < rounds; round += 1) {
      this.tickAll();
      this.deliverAll();
      this.advanceAll();
    }
  }

  #applyResult(rank: number, result: NodeResult): void {
    this.#nodes[rank] = result.node;
    this.violations.push(...result.violations);
    this.queue.push(...result.sent);
  }
}
