import assert from "node:assert/strict";
import { test } from "node:test";
import type { AdmitEvent } from "./mod.ts";
import {
  answered,
  arrival,
  createAgent,
  createReadyAgent,
  ended,
  failed,
  FINGERPRINT,
  KEY,
  keyOf,
  OPTIONS,
  queried,
  STOP,
  TICK,
} from "./test_fixtures.ts";
import type { Case } from "./test_fixtures.ts";

const CASES: readonly Case[] = [
  {
    name: "Runs no call before the time that the target named, then one trial",
    events: [
      [arrival({ number: 1 }), "run e1.1"],
      [arrival({ number: 2 }), "run e1.2"],
      [answered(1, 800), "", 100],
      [answered(2, 300), "", 100],
      [ended(1), "", 100],
      [arrival({ number: 3 }), "refuse e1.3 targetPaused 350", 550],
      [arrival({ number: 4 }), "run e1.4", 900],
      [answered(2), "", 905],
      [arrival({ number: 5 }), "refuse e1.5 targetPaused 990", 910],
      [answered(4), "", 920],
      [arrival({ number: 6 }), "run e1.6", 920],
    ],
  },
  {
    name: "Runs another trial if one fails, or gets no answer for 1 s",
    events: [
      [arrival({ number: 1 }), "run e1.1"],
      [answered(1, 100), ""],
      [arrival({ number: 2 }), "run e1.2", 200],
      [arrival({ number: 3 }), "run e1.3", 1_200],
      [arrival({ number: 9 }), "refuse e1.9 targetPaused 1000", 1_200],
      [answered(1, 100), "", 1_200],
      [ended(2), "", 1_200],
      [arrival({ number: 4 }), "run e1.4", 1_300],
      [failed(4, false), "", 1_310],
      [arrival({ number: 5 }), "run e1.5", 1_310],
    ],
  },
  {
    name: "Bounds the time that the target names to 10 minutes",
    events: [
      [arrival({ number: 1 }), "run e1.1"],
      [answered(1, 1e9), ""],
      [ended(1), ""],
      [arrival({ number: 2 }), "refuse e1.2 targetPaused 600000"],
    ],
  },
  {
    name: "Joins a repeat to the running call or replays its kept answer",
    events: [
      [arrival({ number: 1, key: KEY }), "run e1.1"],
      [arrival({ number: 2, key: KEY }), "join e1.2 e1.1"],
      [ended(1), ""],
      [arrival({ number: 3, key: KEY }), "replay e1.3 e1.1"],
      [
        arrival({ number: 1, key: KEY, entryIncarnation: "e2" }),
        "replay e2.1 e1.1",
      ],
    ],
  },
  {
    name: "Keeps refusing an attempt after another one ran under its key",
    events: [
      [queried(1, KEY), "refuse e1.1 neverArrived 0"],
      [arrival({ number: 1, key: KEY, entryIncarnation: "e2" }), "run e2.1"],
      [queried(1, KEY), "refuse e1.1 neverArrived 0"],
      [arrival({ number: 1, key: KEY }), "refuse e1.1 attemptSettled 0"],
      [queried(2, KEY), "join e1.2 e2.1"],
    ],
  },
  {
    name: "Does not refuse an attempt that joined an evicted one",
    events: [
      [arrival({ number: 1, key: KEY, idempotent: true }), "run e1.1"],
      [
        arrival({ number: 1, key: KEY, entryIncarnation: "e2" }),
        "join e2.1 e1.1",
      ],
      [queried(7, KEY), "join e1.7 e1.1"],
      [ended(1), ""],
      [TICK, "evict e1.1", 6_000],
      [queried(7, KEY), "fail e1.7 attemptForgotten"],
      [queried(6, KEY), "refuse e1.6 neverArrived 0"],
      [
        arrival({ number: 1, key: KEY, entryIncarnation: "e2" }),
        "fail e2.1 attemptForgotten",
      ],
    ],
  },
  {
    name: "Does not refuse an evicted attempt when its key is reused",
    events: [
      [arrival({ number: 1, key: KEY, idempotent: true }), "run e1.1"],
      [ended(1), ""],
      [TICK, "evict e1.1", 6_000],
      [
        arrival({ number: 2, key: KEY, fingerprint: "1123456789abcdef" }),
        "run e1.2",
      ],
      [queried(1, KEY), "fail e1.1 attemptForgotten"],
      [arrival({ number: 1, key: KEY }), "fail e1.1 attemptForgotten"],
      [queried(3, KEY), "refuse e1.3 keyReused 0"],
    ],
  },
  {
    name: "Refuses a key with another fingerprint, running or ended",
    events: [
      [arrival({ number: 1, key: KEY }), "run e1.1"],
      [
        arrival({ number: 2, key: KEY, fingerprint: "0123456789abddef" }),
        "refuse e1.2 keyReused 0",
      ],
      [queried(9, KEY, "1123456789abcdef"), "refuse e1.9 keyReused 0"],
      [ended(1), ""],
      [
        arrival({ number: 3, key: KEY, fingerprint: "1123456789abcdef" }),
        "refuse e1.3 keyReused 0",
      ],
    ],
  },
  {
    name:
      "Runs a duplicate attempt without a key once, also after its eviction",
    events: [
      [arrival({ number: 1 }), "run e1.1"],
      [arrival({ number: 1 }), "join e1.1 e1.1"],
      [ended(1), ""],
      [arrival({ number: 1 }), "replay e1.1 e1.1"],
      [TICK, "evict e1.1", 6_000],
      [arrival({ number: 1 }), "fail e1.1 attemptForgotten"],
      [queried(1), "fail e1.1 attemptForgotten"],
    ],
  },
  {
    name: "Refuses an attempt again after its first refusal",
    options: { maxInFlight: 1 },
    events: [
      [arrival({ number: 1 }), "run e1.1"],
      [arrival({ number: 2 }), "refuse e1.2 targetBusy 250"],
      [ended(1), ""],
      [arrival({ number: 2 }), "refuse e1.2 attemptSettled 0"],
      [arrival({ number: 3 }), "run e1.3"],
    ],
  },
  {
    name: "Never runs an attempt that was queried before it arrived",
    events: [
      [queried(1), "refuse e1.1 neverArrived 0"],
      [arrival({ number: 1 }), "refuse e1.1 attemptSettled 0"],
      [arrival({ number: 2, key: KEY }), "run e1.2"],
      [queried(2, KEY), "join e1.2 e1.2"],
    ],
  },
  {
    name: "Fails attempts that address another incarnation of the agent",
    events: [
      [
        arrival({ number: 1, agentIncarnation: "agent0" }),
        "fail e1.1 wrongIncarnation",
      ],
      [
        {
          type: "attemptQueried",
          attemptId: "e1.1",
          fingerprint: FINGERPRINT,
          agentIncarnation: "agent0",
        },
        "fail e1.1 wrongIncarnation",
      ],
    ],
  },
  {
    name: "Does not run a failed call again if it may have run",
    events: [
      [arrival({ number: 1, key: KEY }), "run e1.1"],
      [failed(1, true), ""],
      [arrival({ number: 2, key: KEY }), "fail e1.2 earlierAttemptFailed"],
      [queried(1, KEY), "fail e1.1 earlierAttemptFailed"],
    ],
  },
  {
    name: "Runs a failed call again if it never ran or is idempotent",
    events: [
      [arrival({ number: 1, key: KEY }), "run e1.1"],
      [failed(1, false), ""],
      [arrival({ number: 1, key: KEY }), "refuse e1.1 attemptSettled 0"],
      [arrival({ number: 2, key: KEY }), "run e1.2"],
      [arrival({ number: 3, key: keyOf("b"), idempotent: true }), "run e1.3"],
      [failed(3, true), ""],
      [arrival({ number: 4, key: keyOf("b"), idempotent: true }), "run e1.4"],
    ],
  },
  {
    name: "Runs one suspect call at a time",
    events: [
      [{ ...arrival({ number: 1 }), suspect: true } as AdmitEvent, "run e1.1"],
      [
        { ...arrival({ number: 2 }), suspect: true } as AdmitEvent,
        "refuse e1.2 suspectRunning 250",
      ],
      [arrival({ number: 3 }), "run e1.3"],
      [ended(1), ""],
      [{ ...arrival({ number: 4 }), suspect: true } as AdmitEvent, "run e1.4"],
    ],
  },
  {
    name: "Refuses attempts without time left or with mismatched ids",
    events: [
      [arrival({ number: 1, timeLeftMs: 0 }), "refuse e1.1 tooLate 0"],
      [arrival({ number: 0 }), "refuse e1.0 badAttemptId 0"],
      [
        { ...arrival({ number: 2, key: KEY }), keyId: undefined } as never,
        "refuse e1.2 badAttemptId 0",
      ],
      [
        arrival({ number: 3, attemptId: "other.3" }),
        "refuse other.3 badAttemptId 0",
      ],
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

test("Refuses attempts until the closings were read", () => {
  const agent = createAgent();
  const [first] = agent.feed(arrival({ number: 1 }));
  assert.equal(first, "refuse e1.1 agentStarting 0");
});

test("Refuses an attempt whose number is below those of the stored refusals", () => {
  const agent = createReadyAgent();
  agent.feed(STOP);
  for (let number = 2; number < 200; number++) agent.feed(arrival({ number }));
  agent.feed({ type: "stopWithdrawn", reason: "plannedStop" });
  const effects = agent.feed(arrival({ number: 1 }));
  assert.deepEqual(effects, ["refuse e1.1 attemptSettled 0"]);
});

test("Fails an attempt older than an evicted one instead of refusing it", () => {
  const agent = createReadyAgent();
  for (let number = 2; number < 200; number++) {
    assert.equal(agent.feed(arrival({ number })).at(-1), `run e1.${number}`);
    agent.feed(ended(number));
  }
  assert.deepEqual(agent.feed(arrival({ number: 1 })), [
    "fail e1.1 attemptForgotten",
  ]);
  assert.ok(agent.figures().keys <= OPTIONS.maxKeys + OPTIONS.maxInFlight);
});
