/**
 * Records orders to an engine, each with the fencing number of its sender, which
 * increases with every change of the sender.
 */

import type { Reply } from "@dandelionbank/standin-common";

/** An order; its content is stored and has no effect. */
export interface EngineOrder {
  readonly fencingNumber: number;
  readonly order: unknown;
}

export class OrderLog {
  readonly #accepted: EngineOrder[] = [];
  #highestFencingNumber = -Infinity;

  static create(): OrderLog {
    return new OrderLog();
  }

  get accepted(): readonly EngineOrder[] {
    return this.#accepted;
  }

  handleOrder(
    body: unknown,
    options: { readonly reply: Reply; readonly checksFencing: boolean },
  ): void {
    const { reply, checksFencing } = options;
    const order = body as Partial<EngineOrder> | undefined;
    if (typeof order?.fencingNumber !== "number") {
      return reply.sendJson(400, { message: "No fencing number" });
    }
    const { fencingNumber } = order;
    if (checksFencing && fencingNumber < this.#highestFencingNumber) {
      return reply.sendJson(409, {
        highestFencingNumber: this.#highestFencingNumber,
      });
    }
    this.#highestFencingNumber = Math.max(
      this.#highestFencingNumber,
      fencingNumber,
    );
    this.#accepted.push({ fencingNumber, order: order.order });
    reply.sendJson(200, { fencingNumber });
  }
}
