import assert from "node:assert/strict";
import { test } from "node:test";
import type { AttemptHead } from "@dandelionbank/types";
import { formatTicket } from "@dandelionbank/read-ticket";
import { createAdmitState, readFigures, step } from "./mod.ts";
import type { AdmitEffect, AdmitEvent, AdmitOptions } from "./mod.ts";

const OPTIONS: AdmitOptions = {
  incarnation: "agent1",
  maxInFlight: 3,
  maxKeys: 4,
  maxKeptBytes: 1_000,
  keyLifeMs: 60_000,
  lingerMs: 5_000,
  retryAfterMs: 250,
};

const FINGERPRINT = "0123456789abcdef";

interface Agent {
  /** Steps the core and shows its effects shortly. */
  readonly feed: (event: AdmitEvent, nowMs?: number) => readonly string[];
  readonly figures: () => ReturnType<typeof readFigures>;
}

function createAgent(options: Partial<AdmitOptions> = {}): Agent {
  const state = createAdmitState({ ...OPTIONS, ...options });
  const feed = (event: AdmitEvent, nowMs = 0) =>
    step(state, event, nowMs).effects.map(show);
  return { feed, figures: () => readFigures(state) };
}

function createReadyAgent(options: Partial<AdmitOptions> = {}): Agent {
  const agent = createAgent(options);
  agent.feed({ type: "closingsRead", incarnations: ["closed"] });
  return agent;
}

function show(effect: AdmitEffect): string {
  switch (effect.type) {
    case "join":
    case "replay":
      return `${effect.type} ${effect.attemptId} ${effect.answeredBy}`;
    case "refuse":
      return `refuse ${effect.attemptId} ${effect.code} ${effect.retryAfterMs}`;
    case "fail":
      return `fail ${effect.attemptId} ${effect.code}`;
    case "answerKeys":
      return `keys ${
        effect.homes.map((home) =>
          `${home.incarnation}:${home.forgottenIssuedAtMs}:${
            home.keys.map((key) => `${key.keyId}=${key.standing}`).join()
          }`
        ).join(" ")
      }`;
    case "drained":
      return "drained";
    case "violation":
      return `violation ${effect.invariant}`;
    default:
      return `${effect.type} ${effect.attemptId}`;
  }
}

interface Attempt extends Partial<AttemptHead> {
  readonly number: number;
  readonly agentIncarnation?: string;
}

function arrival(attempt: Attempt): AdmitEvent {
  const { number, agentIncarnation = "agent1", ...head } = attempt;
  const entryIncarnation = head.entryIncarnation ?? "e1";
  return {
    type: "attemptArrived",
    agentIncarnation,
    ...(head.key === undefined ? {} : { keyId: head.key }),
    head: {
      attemptId: `${entryIncarnation}.${number}`,
      requestId: "r",
      organisation: "acme",
      fingerprint: FINGERPRINT,
      entry: "entry",
      entryIncarnation,
      idempotent: false,
      method: "POST",
      path: "/",
      contentType: "text/plain",
      priority: 0,
      timeLeftMs: 10_000,
      viewRevision: 1,
      ...head,
    },
  };
}

function keyOf(suffix: string, issuedAtMs = 0, incarnation = "e1"): string {
  const ticket = { incarnation, revision: 1, issuedAtMs, expiresAtMs: 99_999 };
  return `${formatTicket(ticket, "s")}/${suffix}`;
}

function asked(
  number: number,
  key?: string,
  fingerprint = FINGERPRINT,
): AdmitEvent {
  return {
    type: "attemptAsked",
    attemptId: `e1.${number}`,
    fingerprint,
    agentIncarnation: "agent1",
    ...(key === undefined ? {} : { keyId: key }),
  };
}

function ended(number: number, answerBytes = 10): AdmitEvent {
  return { type: "runEnded", attemptId: `e1.${number}`, answerBytes };
}

function failed(number: number, mayHaveRun: boolean): AdmitEvent {
  return { type: "runFailed", attemptId: `e1.${number}`, mayHaveRun };
}

const KEY = keyOf("a");

interface Case {
  readonly name: string;
  readonly options?: Partial<AdmitOptions>;
  readonly events: readonly (readonly [AdmitEvent, string, number?])[];
}

const STOP: AdmitEvent = { type: "stopBegan", reason: "plannedStop" };
const TICK: AdmitEvent = { type: "tick" };

const CASES: readonly Case[] = [
  {
    name: "A repeat joins the running call and gets its kept answer",
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
    name: "An attempt that joined another is not denied when that is forgotten",
    events: [
      [arrival({ number: 1, key: KEY, idempotent: true }), "run e1.1"],
      [
        arrival({ number: 1, key: KEY, entryIncarnation: "e2" }),
        "join e2.1 e1.1",
      ],
      [asked(7, KEY), "join e1.7 e1.1"],
      [ended(1), ""],
      [TICK, "forget e1.1", 6_000],
      [asked(7, KEY), "fail e1.7 attemptForgotten"],
      [asked(6, KEY), "refuse e1.6 neverArrived 0"],
      [
        arrival({ number: 1, key: KEY, entryIncarnation: "e2" }),
        "fail e2.1 attemptForgotten",
      ],
    ],
  },
  {
    name: "An attempt that was forgotten is not denied when its key is reused",
    events: [
      [arrival({ number: 1, key: KEY, idempotent: true }), "run e1.1"],
      [ended(1), ""],
      [TICK, "forget e1.1", 6_000],
      [
        arrival({ number: 2, key: KEY, fingerprint: "1123456789abcdef" }),
        "run e1.2",
      ],
      [asked(1, KEY), "fail e1.1 attemptForgotten"],
      [arrival({ number: 1, key: KEY }), "fail e1.1 attemptForgotten"],
      [asked(3, KEY), "refuse e1.3 keyReused 0"],
    ],
  },
  {
    name: "A key with another fingerprint is an error, running or ended",
    events: [
      [arrival({ number: 1, key: KEY }), "run e1.1"],
      [
        arrival({ number: 2, key: KEY, fingerprint: "0123456789abddef" }),
        "refuse e1.2 keyReused 0",
      ],
      [asked(9, KEY, "1123456789abcdef"), "refuse e1.9 keyReused 0"],
      [ended(1), ""],
      [
        arrival({ number: 3, key: KEY, fingerprint: "1123456789abcdef" }),
        "refuse e1.3 keyReused 0",
      ],
    ],
  },
  {
    name:
      "A doubled attempt without a key runs once, also after it is forgotten",
    events: [
      [arrival({ number: 1 }), "run e1.1"],
      [arrival({ number: 1 }), "join e1.1 e1.1"],
      [ended(1), ""],
      [arrival({ number: 1 }), "replay e1.1 e1.1"],
      [TICK, "forget e1.1", 6_000],
      [arrival({ number: 1 }), "fail e1.1 attemptForgotten"],
      [asked(1), "fail e1.1 attemptForgotten"],
    ],
  },
  {
    name: "A refused attempt is refused for ever",
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
    name: "An attempt that was asked about before it arrived never runs",
    events: [
      [asked(1), "refuse e1.1 neverArrived 0"],
      [arrival({ number: 1 }), "refuse e1.1 attemptSettled 0"],
      [arrival({ number: 2, key: KEY }), "run e1.2"],
      [asked(2, KEY), "join e1.2 e1.2"],
    ],
  },
  {
    name: "Another incarnation of the agent is never denied for",
    events: [
      [
        arrival({ number: 1, agentIncarnation: "agent0" }),
        "fail e1.1 wrongIncarnation",
      ],
      [
        {
          type: "attemptAsked",
          attemptId: "e1.1",
          fingerprint: FINGERPRINT,
          agentIncarnation: "agent0",
        },
        "fail e1.1 wrongIncarnation",
      ],
    ],
  },
  {
    name: "A failed call that may have run is not run again",
    events: [
      [arrival({ number: 1, key: KEY }), "run e1.1"],
      [failed(1, true), ""],
      [arrival({ number: 2, key: KEY }), "fail e1.2 earlierAttemptFailed"],
      [asked(1, KEY), "fail e1.1 earlierAttemptFailed"],
    ],
  },
  {
    name: "A failed call that never ran, or may be repeated, runs again",
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
    name: "A full table refuses new keys and forgets no live one",
    options: { maxKeys: 2 },
    events: [
      [arrival({ number: 1, key: KEY }), "run e1.1"],
      [ended(1), ""],
      [arrival({ number: 2, key: keyOf("b") }), "run e1.2"],
      [arrival({ number: 3, key: keyOf("c") }), "refuse e1.3 tableFull 250"],
      [arrival({ number: 4, key: KEY }), "replay e1.4 e1.1"],
      [TICK, "forget e1.1", 61_000],
      [arrival({ number: 5, key: keyOf("c") }), "run e1.5", 61_000],
    ],
  },
  {
    name: "Answers are kept within their bytes: spare ones go first",
    options: { maxKeptBytes: 100 },
    events: [
      [arrival({ number: 1, idempotent: true }), "run e1.1"],
      [ended(1, 80), ""],
      [arrival({ number: 2, key: KEY }), "run e1.2"],
      [ended(2, 90), "forget e1.1"],
      [arrival({ number: 3, idempotent: true }), "run e1.3"],
      [ended(3, 20), "forget e1.3"],
      [asked(3), "fail e1.3 answerNotKept"],
      [arrival({ number: 4, key: keyOf("b") }), "run e1.4"],
      [ended(4, 20), "forget e1.4"],
      [arrival({ number: 5, key: keyOf("b") }), "fail e1.5 answerNotKept"],
    ],
  },
  {
    name: "A stop takes no new work, ends what runs, and can be withdrawn",
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
    name: "Nothing of a closed incarnation is taken, before or after its ask",
    events: [
      [
        arrival({ number: 1, entryIncarnation: "closed" }),
        "refuse closed.1 incarnationClosed 0",
      ],
      [arrival({ number: 1, key: KEY }), "run e1.1"],
      [
        { type: "keysAsked", askId: "q", incarnations: ["e1", "closed"] },
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
    name: "A takeover hears up to which issue time keys were forgotten",
    events: [
      [arrival({ number: 1, key: keyOf("a", 1_234) }), "run e1.1"],
      [ended(1), ""],
      [TICK, "forget e1.1", 61_000],
      [
        { type: "keysAsked", askId: "q", incarnations: ["e1"] },
        "keys e1:1299:",
        61_000,
      ],
    ],
  },
  {
    name:
      "A call that nobody waits for is cancelled, but for keyed and unrepeatable ones",
    events: [
      [arrival({ number: 1, idempotent: true }), "run e1.1"],
      [arrival({ number: 2 }), "run e1.2"],
      [arrival({ number: 3, key: KEY, idempotent: true }), "run e1.3"],
      ...[1, 2, 3].map((number) =>
        [
          {
            type: "listenerLeft",
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
  {
    name: "Of calls that may crash the target one runs at a time",
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
    name: "No attempt is taken out of time or without its parts",
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

test("Nothing is taken before the closings were read", () => {
  const agent = createAgent();
  const [first] = agent.feed(arrival({ number: 1 }));
  assert.equal(first, "refuse e1.1 agentStarting 0");
});

test("An attempt older than many refused ones is refused, and not run", () => {
  const agent = createReadyAgent();
  agent.feed(STOP);
  for (let number = 2; number < 200; number++) agent.feed(arrival({ number }));
  agent.feed({ type: "stopWithdrawn", reason: "plannedStop" });
  const effects = agent.feed(arrival({ number: 1 }));
  assert.deepEqual(effects, ["refuse e1.1 attemptSettled 0"]);
});

test("An attempt older than a forgotten one is not denied", () => {
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
