/**
 * A caller of the soak `requests`. It sends each keyed or repeatable call again
 * when it hears nothing, through any entry, and checks whatever it gets.
 */

import type { RequestKey } from "@dandelionbank/read-ticket";
import type { EntryNode } from "./entry_node.ts";
import type { Message, ReplyMessage } from "./messages.ts";
import { REQUEST_TIMEOUT_MS } from "./settings.ts";
import { answerParts, type Operation, type World } from "./world.ts";

const MAX_SENDS = 4;

/** One sending of a call. */
interface Sending {
  readonly operation: Operation;
  readonly entry: string;
  readonly incarnation: string;
  readonly parts: Map<number, ReplyMessage["part"]>;
  readonly sentAtMs: number;
  nextOrder: number;
  text: string;
  outcome: string | undefined;
  endedAtMs: number;
}

/** How one sending of a call ended. */
export interface SendingEnd {
  readonly operation: Operation;
  readonly entry: string;
  readonly sentAtMs: number;
  /** Absent if nothing was heard. */
  readonly outcome: string | undefined;
  readonly tookMs: number;
}

export interface CallPlan {
  readonly operation: Operation;
  readonly key: RequestKey | undefined;
}

export class CallerNode {
  readonly name: string;
  readonly #world: World;
  readonly #findEntries: () => readonly EntryNode[];
  readonly #sendings = new Map<string, Sending>();

  constructor(
    world: World,
    options: { name: string; findEntries: () => readonly EntryNode[] },
  ) {
    this.name = options.name;
    this.#world = world;
    this.#findEntries = options.findEntries;
    world.queue.start(this.name, {
      receive: (message) => this.#receive(message),
    });
  }

  listSendings(): readonly SendingEnd[] {
    return [...this.#sendings.values()].map((sending) => {
      const { operation, entry, sentAtMs, outcome } = sending;
      const tookMs = sending.endedAtMs - sentAtMs;
      return { operation, entry, sentAtMs, outcome, tookMs };
    });
  }

  begin(plan: CallPlan): void {
    this.#send(plan, 1);
  }

  /** What a call's last sending says must agree with what was executed. */
  checkEnd(): void {
    const byOperation = new Map<Operation, Sending[]>();
    for (const sending of this.#sendings.values()) {
      const known = byOperation.get(sending.operation) ?? [];
      byOperation.set(sending.operation, [...known, sending]);
    }
    for (const [operation, sendings] of byOperation) {
      this.#checkOperation(operation, sendings);
    }
  }

  #checkOperation(operation: Operation, sendings: readonly Sending[]): void {
    const outcomes = sendings.map(({ outcome }) => outcome ?? "silence");
    const last = outcomes.at(-1) ?? "silence";
    this.#world.outcome(last);
    if (operation.key === undefined) return;
    if (!outcomes.every((outcome) => outcome === "notRun")) return;
    this.#world.check("notRunStaysTrue", {
      holds: this.#world.executionsOf(operation, operation.key) === 0,
      detail: operation.id,
    });
  }

  #send(plan: CallPlan, count: number): void {
    const { operation, key } = plan;
    const { queue, random } = this.#world;
    const entries = this.#findEntries();
    if (entries.length === 0) {
      const run = () => this.#send(plan, count);
      return void queue.startTimer(this.name, { delayMs: 100, run });
    }
    const { name: to, incarnation } = random.pick(entries);
    const callerId = this.#world.nextId("call");
    this.#sendings.set(callerId, {
      operation,
      entry: to,
      incarnation,
      parts: new Map(),
      sentAtMs: queue.nowMs,
      nextOrder: 0,
      text: "",
      outcome: undefined,
      endedAtMs: Infinity,
    });
    queue.post({ from: this.name, to }, {
      type: "call",
      incarnation,
      callerId,
      operationId: operation.id,
      key,
      timeLeftMs: REQUEST_TIMEOUT_MS,
    });
    const { callersWait } = this.#world.plan;
    const least = callersWait ? REQUEST_TIMEOUT_MS : 100;
    const delayMs = random.int(least, REQUEST_TIMEOUT_MS + 300);
    const run = () => this.#resend(plan, { callerId, count });
    queue.startTimer(this.name, { delayMs, run });
  }

  #resend(
    plan: CallPlan,
    sent: { readonly callerId: string; readonly count: number },
  ): void {
    const sending = this.#sendings.get(sent.callerId);
    if (sending === undefined) return;
    const { outcome, entry: to, incarnation } = sending;
    if (outcome === "answered") return;
    if (outcome === undefined && this.#world.random.chance(0.7)) {
      const { callerId } = sent;
      const gone = { type: "callerGone", incarnation, callerId } as const;
      this.#world.queue.post({ from: this.name, to }, gone);
    }
    const mayRepeat = plan.key !== undefined || plan.operation.idempotent;
    if (!mayRepeat || sent.count >= MAX_SENDS) return;
    if (outcome === undefined || this.#world.random.chance(0.7)) {
      this.#send(plan, sent.count + 1);
    }
  }

  #receive(message: Message): void {
    if (message.type !== "reply") return;
    const sending = this.#sendings.get(message.callerId);
    if (sending === undefined) {
      return this.#world.violate("answerToItsCaller", message.callerId);
    }
    sending.parts.set(message.order, message.part);
    while (true) {
      const part = sending.parts.get(sending.nextOrder);
      if (part === undefined) return;
      sending.parts.delete(sending.nextOrder);
      sending.nextOrder += 1;
      this.#take(sending, part);
    }
  }

  #take(sending: Sending, part: ReplyMessage["part"]): void {
    const expected = answerParts(sending.operation, 1).join("");
    if (part.kind === "data") {
      sending.text += part.data;
      this.#world.check("partsOfItsOwnInOrder", {
        holds: expected.startsWith(sending.text),
        detail: `${sending.operation.id} got ${sending.text}`,
      });
    }
    if (part.kind === "outcome") {
      const { outcome } = part;
      sending.outcome = outcome.kind;
      sending.endedAtMs = this.#world.queue.nowMs;
      if (outcome.kind === "answered") return;
      this.#world.outcome(`${outcome.kind} ${outcome.code}`);
    }
    if (part.kind !== "end") return;
    sending.outcome = "answered";
    sending.endedAtMs = this.#world.queue.nowMs;
    this.#world.check("wholeAnswerOfItsOwn", {
      holds: sending.text === expected,
      detail: `${sending.operation.id} got ${sending.text}`,
    });
  }
}
