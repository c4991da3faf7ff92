/**
 * State machine that checks the orders to one target. An order comes from the
 * holder of a coordinator duty (see `hold-duty`) and carries the fencing number
 * of that holder; the floor is the lowest fencing number that is still accepted.
 * A former holder that was paused may go on sending orders, with a lower number.
 * Only one order is forwarded to the target at a time, so that a slow order
 * can't take effect after an order of a later holder.
 */

import type { Step } from "@dandelionbank/types";
import type {
  Order,
  OrderEffect,
  OrderEvent,
  OrderPosition,
  OrderRefusal,
  OrderState,
} from "./order_state.ts";

const MAX_QUEUED_ORDERS = 16;

interface OrderDraft {
  state: OrderState;
  readonly effects: OrderEffect[];
}

export function startOrderCheck(
  agentIncarnation: string,
): Step<OrderState, OrderEffect> {
  const state = { agentIncarnation, queued: [] };
  return { state, effects: [{ type: "readFloor" }] };
}

export function stepOrderCheck(
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
      return acceptOrRefuse(draft, event.order);
    case "orderEnded":
      return completeOrder(draft, event.orderId);
  }
}

/** Raises the floor, never lowers it, and refuses queued orders below it. */
function raiseFloor(draft: OrderDraft, fencingNumber: number): void {
  const floor = Math.max(draft.state.floor ?? 0, fencingNumber);
  const queued = draft.state.queued
    .filter((order) => order.fencingNumber >= floor);
  for (const order of draft.state.queued) {
    if (!queued.includes(order)) refuse(draft, order, "outdated");
  }
  draft.state = { ...draft.state, floor, queued };
}

function acceptOrRefuse(draft: OrderDraft, order: Order): void {
  const reason = findRefusalReason(draft.state, order);
  if (reason !== undefined) {
    refuse(draft, order, reason);
    if (reason === "floorUnknown") draft.effects.push({ type: "readFloor" });
    return;
  }
  raiseFloor(draft, order.fencingNumber);
  const { fencingNumber, sequence } = order;
  draft.state = {
    ...draft.state,
    lastAccepted: { fencingNumber, sequence },
    queued: [...draft.state.queued, order],
  };
  forwardNext(draft);
}

function findRefusalReason(
  state: OrderState,
  order: Order,
): OrderRefusal | undefined {
  const { floor, lastAccepted, queued, agentIncarnation } = state;
  if (order.agentIncarnation !== agentIncarnation) return "otherAgent";
  if (floor === undefined) return "floorUnknown";
  if (order.fencingNumber < floor) return "outdated";
  if (lastAccepted !== undefined && !isAfter(order, lastAccepted)) {
    return "repeated";
  }
  const remaining = queued.filter((other) =>
    other.fencingNumber >= order.fencingNumber
  );
  return remaining.length >= MAX_QUEUED_ORDERS ? "queueFull" : undefined;
}

function forwardNext(draft: OrderDraft): void {
  const { running, queued, floor } = draft.state;
  const [next, ...rest] = queued;
  if (running !== undefined || next === undefined) return;
  draft.state = { ...draft.state, running: next, queued: rest };
  if (next.fencingNumber < (floor ?? Infinity)) {
    draft.effects.push({
      type: "invariantViolated",
      invariant: "forwardedNumberRises",
      detail:
        `Order ${next.orderId} has fencing number ${next.fencingNumber}, floor ${floor}`,
    });
    return;
  }
  draft.effects.push({ type: "forward", order: next });
}

function completeOrder(draft: OrderDraft, orderId: string): void {
  if (draft.state.running?.orderId !== orderId) return;
  const { running: _, ...rest } = draft.state;
  draft.state = rest;
  forwardNext(draft);
}

function refuse(draft: OrderDraft, order: Order, reason: OrderRefusal): void {
  draft.effects.push({ type: "refuse", order, reason });
}

function isAfter(left: OrderPosition, right: OrderPosition): boolean {
  if (left.fencingNumber !== right.fencingNumber) {
    return left.fencingNumber > right.fencingNumber;
  }
  return left.sequence > right.sequence;
}
