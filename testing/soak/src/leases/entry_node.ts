/** An entry that may hold the duty and sends orders for as long as it believes that it holds the duty. */

import type {
  DutyEffect,
  DutyEvent,
  DutyObject,
  DutyState,
} from "@dandelionbank/hold-duty";
import { startDuty, stepDuty } from "@dandelionbank/hold-duty";
import type { LeasesWorld } from "./leases_world.ts";
import type { LeaseMessage } from "./messages.ts";
import { STORE } from "./store_node.ts";

const TICK_INTERVAL_MS = 25;
const READ_INTERVAL_MS = 400;
const WRITE_TIMEOUT_MS = 120;

export class EntryNode {
  readonly name: string;
  /** The entry's name as holder of the duty, the same in every incarnation. */
  readonly holder: string;
  readonly incarnation: string;
  readonly #world: LeasesWorld;
  #state: DutyState;
  #sequence = 0;
  #nextReadAtMs = 0;

  static create(
    world: LeasesWorld,
    self: { readonly holder: string; readonly incarnation: string },
  ): EntryNode {
    return new EntryNode(world, self);
  }

  private constructor(
    world: LeasesWorld,
    self: { readonly holder: string; readonly incarnation: string },
  ) {
    this.#world = world;
    this.holder = self.holder;
    this.incarnation = self.incarnation;
    this.name = `${self.holder}.${self.incarnation}`;
    this.#state = startDuty({
      duty: "group g",
      self,
      hash: hashText,
      absentAfterMs: 200,
      handOverAfterMs: 600,
      retryAfterMs: 100,
    });
    world.queue.start(this.name, {
      receive: (message) => this.#receive(message),
    });
    this.#tick();
  }

  get fencingNumber(): number | undefined {
    return this.#state.fencingNumber;
  }

  #tick(): void {
    const { queue } = this.#world;
    queue.startTimer(this.name, {
      delayMs: TICK_INTERVAL_MS,
      run: () => {
        this.#handle({
          type: "membersChanged",
          members: this.#world.listMembers(),
        });
        this.#readDutyIfDue();
        this.#sendOrders();
        this.#tick();
      },
    });
  }

  #readDutyIfDue(): void {
    const { queue } = this.#world;
    if (queue.nowMs < this.#nextReadAtMs) return;
    this.#nextReadAtMs = queue.nowMs + READ_INTERVAL_MS;
    queue.post({ from: this.name, to: STORE }, { type: "read" });
  }

  /**
   * Sends an order to every agent if the entry believes that it holds the duty. A
   * holder that was paused does so too, before it learns about its successor.
   */
  #sendOrders(): void {
    const { fencingNumber } = this.#state;
    if (fencingNumber === undefined) return;
    this.#sequence += 1;
    const sequence = this.#sequence;
    const orderId = `${fencingNumber}/${sequence}`;
    for (const { name, incarnation } of this.#world.agents) {
      const link = { from: this.name, to: name };
      const order = {
        fencingNumber,
        sequence,
        orderId,
        agentIncarnation: incarnation,
        body: this.name,
      };
      this.#world.queue.post(link, { type: "order", order });
    }
  }

  #receive(message: LeaseMessage): void {
    if (message.type !== "object") return;
    const { object, changeId, written } = message;
    this.#handle(toDutyEvent({ object, changeId, written }));
  }

  #handle(event: DutyEvent): void {
    const result = stepDuty(this.#state, event, this.#world.queue.nowMs);
    this.#state = result.state;
    for (const effect of result.effects) this.#performEffect(effect);
  }

  #performEffect(effect: DutyEffect): void {
    const { queue } = this.#world;
    if (effect.type === "write") {
      const { changeId } = effect;
      queue.post({ from: this.name, to: STORE }, effect);
      queue.startTimer(this.name, {
        delayMs: WRITE_TIMEOUT_MS,
        run: () => this.#handle({ type: "writeFailed", changeId }),
      });
    }
    if (effect.type === "held") {
      this.#world.checkHolder(this, effect.fencingNumber);
    }
    if (effect.type === "lost") this.#world.count("outcomes", "givenUp");
    if (effect.type === "invariantViolated") {
      this.#world.reportViolation(effect.detail);
    }
  }
}

function toDutyEvent(
  answer: {
    readonly object: DutyObject | null;
    readonly changeId: string | undefined;
    readonly written: boolean;
  },
): DutyEvent {
  const { object, changeId, written } = answer;
  if (changeId === undefined) return { type: "objectSeen", object };
  if (written && object !== null) return { type: "written", object };
  return { type: "conflict", current: object };
}

/** Hashes a text by FNV-1a with a finalizer. */
function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (const char of text) {
    hash = Math.imul(hash ^ char.charCodeAt(0), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  return (hash ^ (hash >>> 13)) >>> 0;
}
