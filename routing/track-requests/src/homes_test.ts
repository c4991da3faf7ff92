import {
  arrived,
  data,
  ended,
  headed,
  home,
  KEYED,
  LOCAL_HOME,
  lost,
  picked,
  refused,
  testCases,
  TICK,
} from "./test_fixtures.ts";
import type { Case } from "./test_fixtures.ts";

const CASES: readonly Case[] = [
  {
    name: "Does not forward the home's notRun outcome after the deadline",
    lines: [
      [arrived("1", { ...KEYED, timeLeftMs: 900 }), "findHome r1"],
      [
        home("1", { kind: "elsewhere", incarnation: "e2" }),
        "relay e1.1 e2 replaces ",
      ],
      [
        {
          type: "frameArrived",
          frame: {
            type: "outcome",
            attemptId: "e1.1",
            outcome: {
              kind: "notRun",
              proof: { kind: "neverDispatched" },
              code: "keyReused",
              retryAfterMs: 0,
            },
          },
        },
        "1<unknown deadlineExceeded,ended unknown",
        900,
      ],
    ],
  },
  {
    name: "Waits before relaying again to a home that closed the connection",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [
        home("1", { kind: "elsewhere", incarnation: "e2" }),
        "relay e1.1 e2 replaces ",
      ],
      [lost("e1.1"), ""],
      [TICK, "", 249],
      [TICK, "", 999],
      [TICK, "cancel e1.1,findHome r1", 1_000],
      [
        home("1", { kind: "elsewhere", incarnation: "e2" }),
        "relay e1.2 e2 replaces 1",
        1_000,
      ],
      [lost("e1.2"), "", 1_249],
    ],
  },
  {
    name: "Relays a key of another home, and again after the progress timeout",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [
        home("1", { kind: "elsewhere", incarnation: "e2" }),
        "relay e1.1 e2 replaces ",
      ],
      [headed("e1.1"), "1<200"],
      [data("e1.1", 0, "a"), "1<a"],
      [TICK, "cancel e1.1,findHome r1", 1_000],
      [home("1", { kind: "lost" }), "", 1_000],
      [TICK, "findHome r1", 1_250],
      [
        home("1", { kind: "elsewhere", incarnation: "e3" }),
        "relay e1.2 e3 replaces 1",
        1_250,
      ],
      [headed("e1.2"), "", 1_300],
      [data("e1.2", 0, "ab"), "1<b", 1_300],
      [ended("e1.2", "ab"), "1<end,ended answered", 1_300],
    ],
  },
  {
    name: "Forwards the home's outcome; ends as unknown without one",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [
        home("1", { kind: "elsewhere", incarnation: "e2" }),
        "relay e1.1 e2 replaces ",
      ],
      [
        {
          type: "frameArrived",
          frame: {
            type: "outcome",
            attemptId: "e1.1",
            outcome: {
              kind: "notRun",
              proof: { kind: "neverDispatched" },
              code: "noTarget",
              retryAfterMs: 1,
            },
          },
        },
        "1<notRun noTarget neverDispatched,ended notRun",
      ],
      [arrived("2", KEYED), "findHome r2"],
      [
        home("2", { kind: "elsewhere", incarnation: "e2" }),
        "relay e1.2 e2 replaces ",
      ],
      [lost("e1.2"), ""],
      [lost("e1.2"), "cancel e1.2,findHome r2", 250],
      [TICK, "2<unknown deadlineExceeded,ended unknown", 10_000],
    ],
  },
  {
    name: "Drops a late or duplicate relayed request",
    lines: [
      [
        arrived("2", {
          ...KEYED,
          relay: { entryIncarnation: "e2", number: 2, supersedes: [1] },
        }),
        "findHome r2",
      ],
      [
        arrived("1", {
          ...KEYED,
          relay: { entryIncarnation: "e2", number: 1, supersedes: [] },
        }),
        "dropped closedAttempt",
      ],
      [
        arrived("2", {
          ...KEYED,
          relay: { entryIncarnation: "e2", number: 2, supersedes: [1] },
        }),
        "dropped closedAttempt",
      ],
    ],
  },
  {
    name: "Queries the agent that holds an inherited key and never runs it",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [
        home("1", {
          kind: "held",
          target: "A",
          agentIncarnation: "Ai",
          expiresAtMs: 50_000,
        }),
        "query e1.1 A",
      ],
      [refused("e1.1", "neverArrived"), "1<unknown noTarget,ended unknown"],
    ],
  },
  {
    name: "Releases an inherited key that belongs to another request",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [
        home("1", {
          kind: "held",
          target: "A",
          agentIncarnation: "Ai",
          expiresAtMs: 50_000,
        }),
        "query e1.1 A",
      ],
      [refused("e1.1", "keyReused"), "1<unknown keyReused,ended unknown"],
      [arrived("2", { ...KEYED, fingerprint: "g" }), "findHome r2"],
    ],
  },
  {
    name:
      "Leaves no caller behind when a request is merged after the home lookup",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [arrived("2", KEYED), "findHome r2"],
      [home("1", LOCAL_HOME), "pick r1"],
      [picked("1", "A"), "dispatch e1.1 A"],
      [headed("e1.1"), "1<200A"],
      [ended("e1.1", ""), "1<end,ended answered"],
      [home("2", LOCAL_HOME), "2<200A,2<end,ended merged"],
      [{ type: "callerDisconnected", callerId: "2" }, ""],
    ],
  },
  {
    name: "Ends an inherited key that may have run as unknown; runs a free one",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [
        home("1", { kind: "unknown", expiresAtMs: 50_000 }),
        "1<unknown attemptLost,ended unknown",
      ],
      [arrived("2", KEYED), "2<unknown attemptLost,ended merged"],
      [
        arrived("3", { key: { keyId: "l", homeIncarnation: "x" } }),
        "findHome r3",
      ],
      [home("3", { kind: "free", expiresAtMs: 50_000 }), "pick r3"],
    ],
  },
];

testCases(CASES);
