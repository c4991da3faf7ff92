/** A group whose messages a test delivers, loses or holds back one by one. */

import type {
  CoordinatorMessage,
  MapProposal,
  RankEvent,
} from "@dandelionbank/switch-map";
import { createEngine } from "./rank_engine.ts";
import { replaceAgent, replaceRank } from "./replacement.ts";
import { advanceNode, startNode, stepNode } from "./rank_node.ts";
import type { NodeResult, RankNode, Sent } from "./rank_node.ts";
import { createOptions, createProposal, PRODUCT_CORE } from "./scenarios.ts";

export class GroupFixture {
  readonly violations: string[] = [];
  queue: Sent[] = [];
  #nodes: RankNode[];

  /** A group that knows itself, with both proposals' maps staged and step 0 begun. */
  static create(size = 3): GroupFixture {
    const group = new GroupFixture(size);
    group.deliverAll();
    group.advanceAll();
    for (const rank of group.ranks) group.stage(rank);
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

  /** Current map version of each rank's agent. */
  get mapVersions(): readonly number[] {
    return this.#nodes.map((node) => node.agent.current.mapVersion);
  }

  get steps(): readonly number[] {
    return this.#nodes.map((node) => node.engine.step);
  }

  propose(ranks: readonly number[], fencingNumber = 1): MapProposal {
    const proposal = createProposal(fencingNumber);
    for (const rank of ranks) {
      this.order(rank, { type: "propose", fencingNumber, proposal });
    }
    return proposal;
  }

  order(rank: number, message: CoordinatorMessage): void {
    this.handle(rank, { type: "message", message });
  }

  handle(rank: number, event: RankEvent): void {
    this.#take(rank, stepNode(PRODUCT_CORE, this.node(rank), event));
  }

  tickAll(): void {
    for (const rank of this.ranks) this.handle(rank, { type: "tick" });
  }

  stage(rank: number): void {
    for (const fencingNumber of [1, 2]) {
      const { mapVersion } = createProposal(fencingNumber);
      this.handle(rank, { type: "mapStaged", mapVersion });
    }
  }

  /** Every rank that may begins its next step. */
  advanceAll(): void {
    for (const rank of this.ranks) {
      if (this.node(rank).engine.step > Math.min(...this.steps)) continue;
      const result = advanceNode(PRODUCT_CORE, this.node(rank));
      if (result !== undefined) this.#take(rank, result);
    }
  }

  replaceAgent(rank: number): void {
    this.#take(rank, replaceAgent(PRODUCT_CORE, this.#nodes, rank));
  }

  replaceRank(rank: number): void {
    this.#take(rank, replaceRank(PRODUCT_CORE, this.#nodes, rank));
  }

  /** Takes out of the queue what matches. */
  hold(matches: (sent: Sent) => boolean): readonly Sent[] {
    const held = this.queue.filter(matches);
    this.queue = this.queue.filter((sent) => !matches(sent));
    return held;
  }

  deliverAll(): void {
    for (let next = this.queue.shift(); next; next = this.queue.shift()) {
      this.deliver(next);
    }
  }

  deliver(sent: Sent): void {
    const { to, message } = sent;
    if (to.kind === "rank") this.handle(to.rank, { type: "message", message });
  }

  /** Timers fire and messages arrive, until nothing changes any more. */
  settle(rounds = 6): void {
    for (let round = 0; round < rounds; round += 1) {
      this.tickAll();
      this.deliverAll();
      this.advanceAll();
    }
  }

  #take(rank: number, result: NodeResult): void {
    this.#nodes[rank] = result.node;
    this.violations.push(...result.violations);
    this.queue.push(...result.sent);
  }
}
