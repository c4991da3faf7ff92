/**
 * The check of orders to one target. Only one order is with the target at a
 * time, so that a slow one can't take effect after a later holder's.
 */

import type { Step } from "@dandelionbank/types";
import type {
  Order,
  OrderEffect,
  OrderEvent,
  OrderMark,
  OrderRefusal,
  OrderState,
} from "./order_state.ts";

const MAX_WAITING = 16;

interface OrderDraft {
  state: OrderState;
  readonly effects: OrderEffect[];
}

export function startOrders(
  agentIncarnation: string,
): Step<OrderState, OrderEffect> {
  const state = { agentIncarnation, waiting: [] };
  return { state, effects: [{ type: "readFloor" }] };
}

export function stepOrders(
  state: OrderState,
  event: OrderEvent,
): Step<OrderState, OrderEffect> {
  const draft: OrderDraft = { state, effects: [] };
  handleEvent(draft, event);
  return draft;
}

function handleEvent(draft: OrderDraft, event: OrderEvent): void {
  switch (event.type) {
    case "floorRead":
      return raiseFloor(draft, event.fencingNumber);
    case "order":
      return takeOrder(draft, event.order);
    case "orderEnded":
      return endOrder(draft, event.orderId);
  }
}

/** Never lowers it; what waits under a lower number is refused. */
function raiseFloor(draft: OrderDraft, fencingNumber: number): void {
  const floor = Math.max(draft.state.floor ?? 0, fencingNumber);
  const waiting = draft.state.waiting
    .filter((order) => order.fencingNumber >= floor);
  for (const order of draft.state.waiting) {
    if (!waiting.includes(order)) refuse(draft, order, "outdated");
  }
  draft.state = { ...draft.state, floor, waiting };
}

function takeOrder(draft: OrderDraft, order: Order): void {
  const reason = findRefusal(draft.state, order);
  if (reason !== undefined) {
    refuse(draft, order, reason);
    if (reason === "floorUnknown") draft.effects.push({ type: "readFloor" });
    return;
  }
  raiseFloor(draft, order.fencingNumber);
  const { fencingNumber, sequence } = order;
  draft.state = {
    ...draft.state,
    last: { fencingNumber, sequence },
    waiting: [...draft.state.waiting, order],
  };
  forwardNext(draft);
}

function findRefusal(
  state: OrderState,
  order: Order,
): OrderRefusal | undefined {
  const { floor, last, waiting, agentIncarnation } = state;
  if (order.agentIncarnation !== agentIncarnation) return "otherAgent";
  if (floor === undefined) return "floorUnknown";
  if (order.fencingNumber < floor) return "outdated";
  if (last !== undefined && !isAfter(order, last)) return "repeated";
  const kept = waiting.filter((other) =>
    other.fencingNumber >= order.fencingNumber
  );
  return kept.length >= MAX_WAITING ? "queueFull" : undefined;
}

function forwardNext(draft: OrderDraft): void {
  const { running, waiting, floor } = draft.state;
  const [next, ...rest] = waiting;
  if (running !== undefined || next === undefined) return;
  draft.state = { ...draft.state, running: next, waiting: rest };
  if (next.fencingNumber < (floor ?? Infinity)) {
    draft.effects.push({
      type: "invariantViolated",
      invariant: "forwardedNumberRises",
      detail:
        `Order ${next.orderId} under ${next.fencingNumber}, floor ${floor}`,
    });
    return;
  }
  draft.effects.push({ type: "forward", order: next });
}

function endOrder(draft: OrderDraft, orderId: string): void {
  if (draft.state.running?.orderId !== orderId) return;
  const { running: _, ...rest } = draft.state;
  draft.state = rest;
  forwardNext(draft);
}

function refuse(draft: OrderDraft, order: Order, reason: OrderRefusal): void {
  draft.effects.push({ type: "refuse", order, reason });
}

function isAfter(one: OrderMark, other: OrderMark): boolean {
  if (one.fencingNumber !== other.fencingNumber) {
    return one.fencingNumber > other.fencingNumber;
  }
  return one.sequence > other.sequence;
}
