import assert from "node:assert/strict";
import { test } from "node:test";
import { startOrderCheck, stepOrderCheck } from "./mod.ts";
import type { OrderEffect, OrderEvent, OrderState } from "./mod.ts";

interface Case {
  readonly name: string;
  readonly events: readonly OrderEvent[];
  /** The effects after the initial read of the floor. */
  readonly effects: readonly string[];
}

const CASES: readonly Case[] = [
  {
    name: "accepts no order before it has read the floor",
    events: [order(9, 1), floor(5), order(9, 1)],
    effects: ["refuse 9/1 floorUnknown", "readFloor", "forward 9/1"],
  },
  {
    name: "refuses a fencing number below the floor",
    events: [floor(5), order(4, 1), order(5, 1)],
    effects: ["refuse 4/1 outdated", "forward 5/1"],
  },
  {
    name: "refuses a holder that was paused, after an order of its successor",
    events: [floor(5), order(5, 1), ended(5, 1), order(6, 1), order(5, 2)],
    effects: ["forward 5/1", "forward 6/1", "refuse 5/2 outdated"],
  },
  {
    name: "refuses a holder that was paused, after the floor was raised",
    events: [floor(5), floor(6), floor(5), order(5, 1)],
    effects: ["refuse 5/1 outdated"],
  },
  {
    name: "forwards an order once, and none that arrives after a later one",
    events: [floor(5), order(5, 2), order(5, 2), order(5, 1)],
    effects: ["forward 5/2", "refuse 5/2 repeated", "refuse 5/1 repeated"],
  },
  {
    name: "forwards the next order only after the previous one ended",
    events: [floor(5), order(5, 1), order(6, 1), ended(5, 1)],
    effects: ["forward 5/1", "forward 6/1"],
  },
  {
    name: "refuses queued orders of a former holder",
    events: [floor(5), order(5, 1), order(5, 2), order(6, 1), ended(5, 1)],
    effects: ["forward 5/1", "refuse 5/2 outdated", "forward 6/1"],
  },
  {
    name: "refuses a late copy of an order to an earlier agent incarnation",
    events: [floor(5), order(5, 1, "a0"), order(5, 2)],
    effects: ["refuse 5/1 otherAgent", "forward 5/2"],
  },
  {
    name: "refuses orders beyond its queue limit",
    events: [
      floor(5),
      ...Array.from({ length: 18 }, (_, index) => order(5, index + 1)),
    ],
    effects: ["forward 5/1", "refuse 5/18 queueFull"],
  },
];

for (const { name, events, effects } of CASES) {
  test(`An agent ${name}`, () => {
    const started = startOrderCheck("a1");
    assert.deepEqual(started.effects, [{ type: "readFloor" }]);
    let state: OrderState = started.state;
    const actual: string[] = [];
    for (const event of events) {
      const result = stepOrderCheck(state, event);
      state = result.state;
      actual.push(...result.effects.map(describe));
    }
    assert.deepEqual(actual, effects);
  });
}

function order(
  fencingNumber: number,
  sequence: number,
  agentIncarnation = "a1",
): OrderEvent {
  const orderId = `${fencingNumber}/${sequence}`;
  return {
    type: "order",
    order: { fencingNumber, sequence, orderId, agentIncarnation, body: "" },
  };
}

function floor(fencingNumber: number): OrderEvent {
  return { type: "floorRead", fencingNumber };
}

function ended(fencingNumber: number, sequence: number): OrderEvent {
  return { type: "orderEnded", orderId: `${fencingNumber}/${sequence}` };
}

function describe(effect: OrderEffect): string {
  if (effect.type === "refuse") {
    return `refuse ${effect.order.orderId} ${effect.reason}`;
  }
  if (effect.type === "forward") return `forward ${effect.order.orderId}`;
  return effect.type;
}
