/**
 * Delivers messages and runs timers between simulated nodes in virtual time.
 * Every fault is drawn from one seeded generator, so the same seed and the same
 * calls give the same run.
 *
 * A frozen node keeps its state and receives nothing. Messages and timers that
 * come due while it is frozen are delivered in order when it thaws.
 *
 * A stopped node loses its timers, and messages that arrive for it are dropped.
 * A message still in transit when a node is started again under the same name
 * is delivered to the new node.
 */

import { EventHeap } from "./event_heap.ts";
import { Random } from "./random.ts";
import type {
  Link,
  MessageFaults,
  MessageQueueOptions,
  QueueCounts,
  QueueNode,
  TimerOptions,
} from "./types.ts";

interface QueueEvent {
  readonly atMs: number;
  readonly order: number;
  /** The node that handles the event; empty for a callback of `runAt`. */
  readonly node: string;
  /** ID of the timer; absent for a message. */
  readonly timer?: number;
  /** Generation of the node that started the timer. */
  readonly generation?: number;
  readonly run: () => void;
}

interface NodeRecord<Message> {
  node: QueueNode<Message> | undefined;
  /** Rises with each start and stop, which invalidates earlier timers. */
  generation: number;
  isFrozen: boolean;
  clockOffsetMs: number;
  /** Events that came due while the node was frozen. */
  readonly heldEvents: QueueEvent[];
}

const NO_FAULTS: MessageFaults = {
  minDelayMs: 1,
  maxDelayMs: 1,
  lossProbability: 0,
  duplicateProbability: 0,
  reorderProbability: 0,
  maxReorderDelayMs: 0,
};

export class MessageQueue<Message> {
  readonly random: Random;
  readonly counts: QueueCounts = {
    posted: 0,
    delivered: 0,
    lost: 0,
    duplicated: 0,
    reordered: 0,
    cut: 0,
    undeliverable: 0,
    freezes: 0,
    stops: 0,
    clockJumps: 0,
  };
  readonly #heap = EventHeap.create<QueueEvent>();
  readonly #nodes = new Map<string, NodeRecord<Message>>();
  readonly #cutLinks = new Set<string>();
  readonly #stoppedTimers = new Set<number>();
  #faults: MessageFaults;
  #nextOrder = 0;
  #nowMs = 0;

  private constructor(options: MessageQueueOptions) {
    this.random = Random.create(options.seed);
    this.#faults = { ...NO_FAULTS, ...options.faults };
  }

  static create<Message>(options: MessageQueueOptions): MessageQueue<Message> {
    return new MessageQueue<Message>(options);
  }

  /** Virtual time. A node sees its own clock instead, see `clockMs`. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Changes the faults of messages that are posted after this call. */
  setFaults(faults: Partial<MessageFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  /** Returns the time on a node's clock: virtual time plus the node's clock jumps. */
  clockMs(name: string): number {
    return this.#nowMs + this.#getRecord(name).clockOffsetMs;
  }

  jumpClock(name: string, byMs: number): void {
    this.counts.clockJumps += 1;
    this.#getRecord(name).clockOffsetMs += byMs;
  }

  /** Starts a node, or starts it again after a stop. */
  start(name: string, node: QueueNode<Message>): void {
    const record = this.#getRecord(name);
    record.node = node;
    record.generation += 1;
    record.isFrozen = false;
    record.heldEvents.length = 0;
  }

  isRunning(name: string): boolean {
    return this.#getRecord(name).node !== undefined;
  }

  isFrozen(name: string): boolean {
    return this.#getRecord(name).isFrozen;
  }

  /** Stops a node at once. Its timers and the events held during a freeze are lost. */
  stop(name: string): void {
    const record = this.#getRecord(name);
    if (record.node === undefined) return;
    this.counts.stops += 1;
    record.node = undefined;
    record.generation += 1;
    record.isFrozen = false;
    record.heldEvents.length = 0;
  }

  freeze(name: string): void {
    const record = this.#getRecord(name);
    if (record.node === undefined || record.isFrozen) return;
    this.counts.freezes += 1;
    record.isFrozen = true;
  }

  thaw(name: string): void {
    const record = this.#getRecord(name);
    if (!record.isFrozen) return;
    record.isFrozen = false;
    const heldEvents = record.heldEvents.splice(0);
    for (const event of heldEvents) {
      this.#heap.push({
        ...event,
        atMs: this.#nowMs,
        order: this.#nextOrder++,
      });
    }
  }

  /** Drops every message that is posted on this one-way link until it is healed. */
  cut(link: Link): void {
    this.#cutLinks.add(formatLinkKey(link));
  }

  heal(link: Link): void {
    this.#cutLinks.delete(formatLinkKey(link));
  }

  healAll(): void {
    this.#cutLinks.clear();
  }

  post(link: Link, message: Message): void {
    this.counts.posted += 1;
    if (this.#cutLinks.has(formatLinkKey(link))) {
      this.counts.cut += 1;
      return;
    }
    if (this.#drawFault("lost", this.#faults.lossProbability)) return;
    this.#transmit(link, message);
    if (this.#drawFault("duplicated", this.#faults.duplicateProbability)) {
      this.#transmit(link, message);
    }
  }

  /**
   * Starts a one-shot timer on a node and returns its ID. The timer does not run
   * if the node is stopped or started again before it is due.
   */
  startTimer(name: string, options: TimerOptions): number {
    const order = this.#nextOrder++;
    this.#heap.push({
      atMs: this.#nowMs + options.delayMs,
      order,
      node: name,
      timer: order,
      generation: this.#getRecord(name).generation,
      run: options.run,
    });
    return order;
  }

  stopTimer(timer: number): void {
    this.#stoppedTimers.add(timer);
  }

  /** Runs a callback at a virtual time, independently of the state of any node. */
  runAt(atMs: number, run: () => void): void {
    const order = this.#nextOrder++;
    this.#heap.push({ atMs, order, node: "", run });
  }

  /** Runs events up to the time limit; returns whether the queue became empty. */
  runUntilQuiet(options: { readonly limitMs: number }): boolean {
    while (true) {
      const next = this.#heap.peek();
      if (next === undefined) return true;
      if (next.atMs > options.limitMs) break;
      this.#heap.pop();
      this.#nowMs = Math.max(this.#nowMs, next.atMs);
      this.#dispatch(next);
    }
    this.#nowMs = options.limitMs;
    return false;
  }

  #dispatch(event: QueueEvent): void {
    if (event.timer !== undefined && this.#stoppedTimers.delete(event.timer)) {
      return;
    }
    if (event.node === "") return event.run();
    const record = this.#getRecord(event.node);
    if (
      event.generation !== undefined && event.generation !== record.generation
    ) return;
    if (record.isFrozen) record.heldEvents.push(event);
    else event.run();
  }

  #transmit(link: Link, message: Message): void {
    const { minDelayMs, maxDelayMs, reorderProbability } = this.#faults;
    let delayMs = this.random.int(minDelayMs, maxDelayMs);
    if (this.#drawFault("reordered", reorderProbability)) {
      delayMs += this.random.int(0, this.#faults.maxReorderDelayMs);
    }
    this.#heap.push({
      atMs: this.#nowMs + delayMs,
      order: this.#nextOrder++,
      node: link.to,
      run: () => this.#deliver(link, message),
    });
  }

  #deliver(link: Link, message: Message): void {
    const node = this.#getRecord(link.to).node;
    if (node === undefined) {
      this.counts.undeliverable += 1;
      return;
    }
    this.counts.delivered += 1;
    node.receive(message, link.from);
  }

  #drawFault(
    fault: "lost" | "duplicated" | "reordered",
    probability: number,
  ): boolean {
    if (probability === 0 || !this.random.chance(probability)) return false;
    this.counts[fault] += 1;
    return true;
  }

  #getRecord(name: string): NodeRecord<Message> {
    const existing = this.#nodes.get(name);
    if (existing !== undefined) return existing;
    const record: NodeRecord<Message> = {
      node: undefined,
      generation: 0,
      isFrozen: false,
      clockOffsetMs: 0,
      heldEvents: [],
    };
    this.#nodes.set(name, record);
    return record;
  }
}

function formatLinkKey(link: Link): string {
  return `${link.from}\n${link.to}`;
}
