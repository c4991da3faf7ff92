/** Orders to an engine, with the fencing number of who gave them. */

import type { Reply } from "@dandelionbank/standin-common";

export interface EngineOrder {
  readonly fencingNumber: number;
  readonly order: unknown;
}

export class OrderLog {
  readonly #taken: EngineOrder[] = [];
  #highest = -Infinity;

  static create(): OrderLog {
    return new OrderLog();
  }

  get accepted(): readonly EngineOrder[] {
    return this.#taken;
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
    if (checksFencing && fencingNumber < this.#highest) {
      return reply.sendJson(409, { highestFencingNumber: this.#highest });
    }
    this.#highest = Math.max(this.#highest, fencingNumber);
    this.#taken.push({ fencingNumber, order: order.order });
    reply.sendJson(200, { fencingNumber });
  }
}
