/** An agent that checks orders, in front of an engine that executes every order. */

import type {
  Order,
  OrderEffect,
  OrderState,
} from "@dandelionbank/check-orders";
import { startOrderCheck, stepOrderCheck } from "@dandelionbank/check-orders";
import type { Step } from "@dandelionbank/types";
import type { LeasesWorld } from "./leases_world.ts";
import type { LeaseMessage } from "./messages.ts";
import { STORE } from "./store_node.ts";

const READ_RETRY_DELAY_MS = 60;

/** An engine that does not check fencing numbers. It outlives its agents. */
export interface Engine {
  readonly executed: Order[];
}

export interface AgentOptions {
  readonly name: string;
  readonly incarnation: string;
  readonly engine: Engine;
}

export class AgentNode {
  readonly name: string;
  readonly incarnation: string;
  readonly engine: Engine;
  readonly #world: LeasesWorld;
  #state: OrderState;

  static create(world: LeasesWorld, options: AgentOptions): AgentNode {
    return new AgentNode(world, options);
  }

  private constructor(world: LeasesWorld, options: AgentOptions) {
    const { name, incarnation } = options;
    this.#world = world;
    this.name = name;
    this.incarnation = incarnation;
    this.engine = options.engine;
    const started = startOrderCheck(incarnation);
    this.#state = started.state;
    world.queue.start(name, { receive: (message) => this.#receive(message) });
    this.#applyResult(started);
  }

  #receive(message: LeaseMessage): void {
    if (message.type === "order") {
      this.#applyResult(stepOrderCheck(this.#state, message));
    }
    if (message.type !== "object") return;
    const fencingNumber = message.object?.revision ?? 0;
    this.#applyResult(
      stepOrderCheck(this.#state, { type: "floorRead", fencingNumber }),
    );
  }

  #applyResult(result: Step<OrderState, OrderEffect>): void {
    this.#state = result.state;
    for (const effect of result.effects) this.#performEffect(effect);
  }

  #performEffect(effect: OrderEffect): void {
    switch (effect.type) {
      case "readFloor":
        return this.#readFloor();
      case "refuse":
        return this.#world.count("outcomes", effect.reason);
      case "forward":
        return this.#execute(effect.order);
      case "invariantViolated":
        return this.#world.reportViolation(effect.detail);
    }
  }

  /**
   * Reads the duty's current fencing number, the lowest that the agent accepts,
   * until an answer arrives.
   */
  #readFloor(): void {
    const { queue } = this.#world;
    queue.post({ from: this.name, to: STORE }, { type: "read" });
    queue.startTimer(this.name, {
      delayMs: READ_RETRY_DELAY_MS,
      run: () => {
        if (this.#state.floor === undefined) this.#readFloor();
      },
    });
  }

  #execute(order: Order): void {
    const { queue } = this.#world;
    this.#world.recordExecution(this.engine, order);
    queue.startTimer(this.name, {
      delayMs: queue.random.int(1, 40),
      run: () => {
        const event = { type: "orderEnded", orderId: order.orderId } as const;
        this.#applyResult(stepOrderCheck(this.#state, event));
      },
    });
  }
}
