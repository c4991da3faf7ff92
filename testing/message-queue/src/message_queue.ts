/**
 * Messages and timers between nodes in virtual time. Every fault is drawn from
 * one seeded generator, so the same seed and the same calls give the same run.
 *
 * A frozen node keeps its state and receives nothing; what comes due meanwhile
 * is delivered in order when it thaws. A stopped node loses its timers, and
 * what arrives for it is lost until a node is started under its name again: a
 * message that was on its way then reaches the new one.
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
  readonly node: string;
  readonly timer?: number;
  readonly life?: number;
  readonly run: () => void;
}

interface NodeRecord<Message> {
  node: QueueNode<Message> | undefined;
  life: number;
  frozen: boolean;
  clockOffsetMs: number;
  readonly held: QueueEvent[];
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
  readonly #cuts = new Set<string>();
  readonly #stoppedTimers = new Set<number>();
  #faults: MessageFaults;
  #order = 0;
  #nowMs = 0;

  private constructor(options: MessageQueueOptions) {
    this.random = Random.create(options.seed);
    this.#faults = { ...NO_FAULTS, ...options.faults };
  }

  static create<Message>(options: MessageQueueOptions): MessageQueue<Message> {
    return new MessageQueue<Message>(options);
  }

  /** Virtual time, which no node sees. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Changes the faults of messages that are posted from now on. */
  setFaults(faults: Partial<MessageFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  /** The node's own clock: virtual time and its jumps. */
  clockMs(name: string): number {
    return this.#nowMs + this.#recordOf(name).clockOffsetMs;
  }

  jumpClock(name: string, byMs: number): void {
    this.counts.clockJumps += 1;
    this.#recordOf(name).clockOffsetMs += byMs;
  }

  /** Starts a node, also one that was stopped under the same name. */
  start(name: string, node: QueueNode<Message>): void {
    const record = this.#recordOf(name);
    record.node = node;
    record.life += 1;
    record.frozen = false;
    record.held.length = 0;
  }

  isRunning(name: string): boolean {
    return this.#recordOf(name).node !== undefined;
  }

  isFrozen(name: string): boolean {
    return this.#recordOf(name).frozen;
  }

  /** Ends a node at once: its timers and what it held are lost. */
  stop(name: string): void {
    const record = this.#recordOf(name);
    if (record.node === undefined) return;
    this.counts.stops += 1;
    record.node = undefined;
    record.life += 1;
    record.frozen = false;
    record.held.length = 0;
  }

  freeze(name: string): void {
    const record = this.#recordOf(name);
    if (record.node === undefined || record.frozen) return;
    this.counts.freezes += 1;
    record.frozen = true;
  }

  thaw(name: string): void {
    const record = this.#recordOf(name);
    if (!record.frozen) return;
    record.frozen = false;
    const held = record.held.splice(0);
    for (const event of held) {
      this.#heap.push({ ...event, atMs: this.#nowMs, order: this.#order++ });
    }
  }

  /** Loses every message on this one-way link until it is healed. */
  cut(link: Link): void {
    this.#cuts.add(keyOf(link));
  }

  heal(link: Link): void {
    this.#cuts.delete(keyOf(link));
  }

  healAll(): void {
    this.#cuts.clear();
  }

  post(link: Link, message: Message): void {
    this.counts.posted += 1;
    if (this.#cuts.has(keyOf(link))) {
      this.counts.cut += 1;
      return;
    }
    if (this.#happens("lost", this.#faults.lossProbability)) return;
    this.#send(link, message);
    if (this.#happens("duplicated", this.#faults.duplicateProbability)) {
      this.#send(link, message);
    }
  }

  /** Runs `run` once on the node, unless the node ends before. */
  startTimer(name: string, options: TimerOptions): number {
    const order = this.#order++;
    this.#heap.push({
      atMs: this.#nowMs + options.delayMs,
      order,
      node: name,
      timer: order,
      life: this.#recordOf(name).life,
      run: options.run,
    });
    return order;
  }

  stopTimer(timer: number): void {
    this.#stoppedTimers.add(timer);
  }

  /** Runs something at a virtual time, whatever becomes of any node. */
  runAt(atMs: number, run: () => void): void {
    const order = this.#order++;
    this.#heap.push({ atMs, order, node: "", run });
  }

  /** Runs until nothing is left to do or the limit; returns whether it is quiet. */
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
    const record = this.#recordOf(event.node);
    if (event.life !== undefined && event.life !== record.life) return;
    if (record.frozen) record.held.push(event);
    else event.run();
  }

  #send(link: Link, message: Message): void {
    const { minDelayMs, maxDelayMs, reorderProbability } = this.#faults;
    let delayMs = this.random.int(minDelayMs, maxDelayMs);
    if (this.#happens("reordered", reorderProbability)) {
      delayMs += this.random.int(0, this.#faults.maxReorderDelayMs);
    }
    this.#heap.push({
      atMs: this.#nowMs + delayMs,
      order: this.#order++,
      node: link.to,
      run: () => this.#deliver(link, message),
    });
  }

  #deliver(link: Link, message: Message): void {
    const node = this.#recordOf(link.to).node;
    if (node === undefined) {
      this.counts.undeliverable += 1;
      return;
    }
    this.counts.delivered += 1;
    node.receive(message, link.from);
  }

  #happens(
    fault: "lost" | "duplicated" | "reordered",
    probability: number,
  ): boolean {
    if (probability === 0 || !this.random.chance(probability)) return false;
    this.counts[fault] += 1;
    return true;
  }

  #recordOf(name: string): NodeRecord<Message> {
    const known = this.#nodes.get(name);
    if (known !== undefined) return known;
    const record: NodeRecord<Message> = {
      node: undefined,
      life: 0,
      frozen: false,
      clockOffsetMs: 0,
      held: [],
    };
    this.#nodes.set(name, record);
    return record;
  }
}

function keyOf(link: Link): string {
  return `${link.from}\n${link.to}`;
}
