/** The entries, agents and store of one duty, and the checks of its invariants. */

import { MessageQueue } from "@dandelionbank/message-queue";
import type { Order } from "@dandelionbank/check-orders";
import type { DutyObject } from "@dandelionbank/hold-duty";
import type { RunReport } from "../soak.ts";
import { AgentNode } from "./agent_node.ts";
import type { Engine } from "./agent_node.ts";
import { EntryNode } from "./entry_node.ts";
import type { LeaseMessage } from "./messages.ts";
import { StoreNode } from "./store_node.ts";

const AGENT_COUNT = 2;

export class LeasesWorld {
  readonly queue: MessageQueue<LeaseMessage>;
  readonly store: StoreNode;
  readonly entries: EntryNode[] = [];
  readonly agents: AgentNode[] = [];
  readonly report = {
    faults: {} as Record<string, number>,
    outcomes: {} as Record<string, number>,
    invariants: {} as Record<string, number>,
    violations: [] as string[],
  } satisfies RunReport;
  /** Live entries that the platform's list leaves out. */
  readonly unlistedHolders = new Set<string>();
  /** The entry that claimed each fencing number. */
  readonly #holderByNumber = new Map<number, string>();
  #incarnationCount = 0;

  static create(seed: number): LeasesWorld {
    return new LeasesWorld(seed);
  }

  private constructor(seed: number) {
    this.queue = MessageQueue.create<LeaseMessage>({
      seed,
      faults: { minDelayMs: 1, maxDelayMs: 5 },
    });
    this.store = StoreNode.create(this);
    const entries = this.queue.random.int(2, 5);
    for (let index = 0; index < entries; index += 1) {
      this.entries.push(this.#startEntry(`entry${index}`));
    }
    for (let index = 0; index < AGENT_COUNT; index += 1) {
      const engine = { executed: [] };
      this.agents.push(this.#startAgent(`agent${index}`, engine));
    }
  }

  /** Returns the platform's list of live entries, by holder and incarnation. */
  listMembers(): ReadonlyMap<string, string> {
    const listed = this.entries.filter(({ holder }) =>
      !this.unlistedHolders.has(holder)
    );
    return new Map(
      listed.map(({ holder, incarnation }) => [holder, incarnation]),
    );
  }

  /** Replaces an entry. A former process that is paused resumes later. */
  replaceEntry(index: number, former: "stopped" | "paused"): void {
    const old = this.entries[index]!;
    if (former === "stopped") this.queue.stop(old.name);
    else this.pause(old.name);
    this.entries[index] = this.#startEntry(old.holder);
  }

  replaceAgent(index: number): void {
    const { name, engine } = this.agents[index]!;
    this.queue.stop(name);
    this.agents[index] = this.#startAgent(name, engine);
  }

  pause(name: string): void {
    this.queue.freeze(name);
    const untilMs = this.queue.nowMs + this.queue.random.int(10, 1_500);
    this.queue.runAt(untilMs, () => this.queue.thaw(name));
  }

  recordClaim(object: DutyObject): void {
    const { holder, incarnation } = object.record;
    this.#holderByNumber.set(object.revision, `${holder}.${incarnation}`);
    this.count("outcomes", "claims");
  }

  checkHolder(entry: EntryNode, fencingNumber: number): void {
    this.count("invariants", "numberBelongsToOne");
    if (this.#holderByNumber.get(fencingNumber) === entry.name) return;
    this.reportViolation(
      `${entry.name} holds ${fencingNumber}, which it never claimed`,
    );
  }

  recordExecution(engine: Engine, order: Order): void {
    const last = engine.executed.at(-1);
    this.count("invariants", "executedNumberNeverFalls");
    if (last !== undefined && order.fencingNumber < last.fencingNumber) {
      this.reportViolation(
        `Order ${order.orderId} was executed after ${last.orderId}`,
      );
    }
    this.count("invariants", "executedOnce");
    if (engine.executed.some(({ orderId }) => orderId === order.orderId)) {
      this.reportViolation(`Order ${order.orderId} was executed twice`);
    }
    this.count("invariants", "orderedByHolder");
    if (this.#holderByNumber.get(order.fencingNumber) !== order.body) {
      this.reportViolation(
        `Order ${order.orderId} was sent by ${order.body}, which is not the holder`,
      );
    }
    engine.executed.push(order);
  }

  reportViolation(detail: string): void {
    this.report.violations.push(`${this.queue.nowMs} ms: ${detail}`);
  }

  count(tally: "faults" | "outcomes" | "invariants", name: string): void {
    this.report[tally][name] = (this.report[tally][name] ?? 0) + 1;
  }

  #startAgent(name: string, engine: Engine): AgentNode {
    this.#incarnationCount += 1;
    const incarnation = `i${this.#incarnationCount}`;
    return AgentNode.create(this, { name, incarnation, engine });
  }

  #startEntry(holder: string): EntryNode {
    this.#incarnationCount += 1;
    const incarnation = `i${this.#incarnationCount}`;
    return EntryNode.create(this, { holder, incarnation });
  }
}
