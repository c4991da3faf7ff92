import assert from "node:assert/strict";
import { test } from "node:test";
import {
  arrival,
  createReadyAgent,
  ended,
  KEY,
  keyOf,
  queried,
  STOP,
  TICK,
} from "./test_fixtures.ts";
import type { Case } from "./test_fixtures.ts";

const CASES: readonly Case[] = [
  {
    name: "Does not refuse an attempt that ran and was evicted",
    options: { lingerMs: 1_000 },
    events: [
      [arrival({ number: 1, key: KEY, idempotent: true }), "run e1.1"],
      [ended(1), ""],
      [TICK, "evict e1.1", 2_000],
      [
        arrival({ number: 2, key: KEY, idempotent: true }),
        "run e1.2",
        2_000,
      ],
      [queried(1, KEY), "join e1.1 e1.2", 2_000],
    ],
  },
  {
    name: "Refuses new keys when the table is full and evicts no unexpired one",
    options: { maxKeys: 2 },
    events: [
      [arrival({ number: 1, key: KEY }), "run e1.1"],
      [ended(1), ""],
      [arrival({ number: 2, key: keyOf("b") }), "run e1.2"],
      [arrival({ number: 3, key: keyOf("c") }), "refuse e1.3 tableFull 250"],
      [arrival({ number: 4, key: KEY }), "replay e1.4 e1.1"],
      [TICK, "evict e1.1", 61_000],
      [arrival({ number: 5, key: keyOf("c") }), "run e1.5", 61_000],
    ],
  },
  {
    name: "Keeps answers within the byte limit; evicts idempotent ones first",
    options: { maxKeptBytes: 100 },
    events: [
      [arrival({ number: 1, idempotent: true }), "run e1.1"],
      [ended(1, 80), ""],
      [arrival({ number: 2, key: KEY }), "run e1.2"],
      [ended(2, 90), "evict e1.1"],
      [arrival({ number: 3, idempotent: true }), "run e1.3"],
      [ended(3, 20), "evict e1.3"],
      [queried(3), "fail e1.3 answerNotKept"],
      [arrival({ number: 4, key: keyOf("b") }), "run e1.4"],
      [ended(4, 20), "evict e1.4"],
      [arrival({ number: 5, key: keyOf("b") }), "fail e1.5 answerNotKept"],
    ],
  },
  {
    name:
      "Accepts no new calls while stopping, drains, and can withdraw the stop",
    events: [
      [arrival({ number: 1, key: KEY }), "run e1.1"],
      [STOP, ""],
      [arrival({ number: 2 }), "refuse e1.2 agentStopping 0"],
      [arrival({ number: 3, key: KEY }), "join e1.3 e1.1"],
      [ended(1), "drained"],
      [arrival({ number: 4, key: KEY }), "replay e1.4 e1.1"],
      [{ type: "stopBegan", reason: "leavingList" }, ""],
      [{ type: "stopWithdrawn", reason: "plannedStop" }, "drained"],
      [arrival({ number: 5 }), "refuse e1.5 agentStopping 0"],
      [{ type: "stopWithdrawn", reason: "leavingList" }, ""],
      [arrival({ number: 6 }), "run e1.6"],
    ],
  },
  {
    name:
      "Accepts nothing from closed incarnations, before or after the key request",
    events: [
      [
        arrival({ number: 1, entryIncarnation: "closed" }),
        "refuse closed.1 incarnationClosed 0",
      ],
      [arrival({ number: 1, key: KEY }), "run e1.1"],
      [
        { type: "keysRequested", askId: "q", incarnations: ["e1", "closed"] },
        `keys e1:-1:${KEY}=running closed:-1:`,
      ],
      [arrival({ number: 2 }), "refuse e1.2 incarnationClosed 0"],
      [arrival({ number: 1, key: KEY }), "fail e1.1 incarnationClosed"],
      [arrival({ number: 3, key: KEY }), "fail e1.3 incarnationClosed"],
      [
        arrival({ number: 1, key: KEY, entryIncarnation: "e2" }),
        "join e2.1 e1.1",
      ],
    ],
  },
  {
    name: "Reports up to which issue time keys were evicted",
    events: [
      [arrival({ number: 1, key: keyOf("a", 1_234) }), "run e1.1"],
      [ended(1), ""],
      [TICK, "evict e1.1", 61_000],
      [
        { type: "keysRequested", askId: "q", incarnations: ["e1"] },
        "keys e1:1299:",
        61_000,
      ],
    ],
  },
  {
    name:
      "Cancels idempotent calls without listeners; keyed ones at their deadline",
    events: [
      [arrival({ number: 1, idempotent: true }), "run e1.1"],
      [arrival({ number: 2 }), "run e1.2"],
      [arrival({ number: 3, key: KEY, idempotent: true }), "run e1.3"],
      ...[1, 2, 3].map((number) =>
        [
          {
            type: "listenerDisconnected",
            attemptId: `e1.${number}`,
            answeredBy: `e1.${number}`,
          },
          "",
        ] as const
      ),
      [TICK, "cancel e1.1", 5_000],
      [TICK, "", 5_100],
      [TICK, "cancel e1.3", 10_000],
    ],
  },
];

for (const { name, options, events } of CASES) {
  test(name, () => {
    const agent = createReadyAgent(options);
    for (const [event, expected, nowMs] of events) {
      assert.equal(agent.feed(event, nowMs).join(), expected);
    }
  });
}
