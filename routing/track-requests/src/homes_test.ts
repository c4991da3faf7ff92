import {
  arrived,
  data,
  ended,
  headed,
  HERE,
  home,
  KEYED,
  lost,
  picked,
  refused,
  testCases,
  TICK,
} from "./test_fixtures.ts";
import type { Case } from "./test_fixtures.ts";

const CASES: readonly Case[] = [
  {
    name: "A word of the home that comes after the deadline is not passed on",
    lines: [
      [arrived("1", { ...KEYED, timeLeftMs: 900 }), "findHome r1"],
      [
        home("1", { kind: "remote", incarnation: "e2" }),
        "pass e1.1 e2 over ",
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
    name: "A home that hangs up is asked again only after a while",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [
        home("1", { kind: "remote", incarnation: "e2" }),
        "pass e1.1 e2 over ",
      ],
      [lost("e1.1"), ""],
      [TICK, "", 249],
      [TICK, "", 999],
      [TICK, "cancel e1.1,findHome r1", 1_000],
      [
        home("1", { kind: "remote", incarnation: "e2" }),
        "pass e1.2 e2 over 1",
        1_000,
      ],
      [lost("e1.2"), "", 1_249],
    ],
  },
  {
    name: "A key of another home is passed on, again after silence",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [
        home("1", { kind: "remote", incarnation: "e2" }),
        "pass e1.1 e2 over ",
      ],
      [headed("e1.1"), "1<200"],
      [data("e1.1", 0, "a"), "1<a"],
      [TICK, "cancel e1.1,findHome r1", 1_000],
      [home("1", { kind: "unreachable" }), "", 1_000],
      [TICK, "findHome r1", 1_250],
      [
        home("1", { kind: "remote", incarnation: "e3" }),
        "pass e1.2 e3 over 1",
        1_250,
      ],
      [headed("e1.2"), "", 1_300],
      [data("e1.2", 0, "ab"), "1<b", 1_300],
      [ended("e1.2", "ab"), "1<end,ended answered", 1_300],
    ],
  },
  {
    name: "The home's outcome is passed on; without it the outcome is unknown",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [
        home("1", { kind: "remote", incarnation: "e2" }),
        "pass e1.1 e2 over ",
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
        home("2", { kind: "remote", incarnation: "e2" }),
        "pass e1.2 e2 over ",
      ],
      [lost("e1.2"), ""],
      [lost("e1.2"), "cancel e1.2,findHome r2", 250],
      [TICK, "2<unknown deadlineExceeded,ended unknown", 10_000],
    ],
  },
  {
    name: "A late or doubled relayed request is dropped",
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
    name: "An inherited key that an agent has is asked for there, never run",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [
        home("1", {
          kind: "held",
          target: "A",
          agentIncarnation: "Ai",
          expiresAtMs: 50_000,
        }),
        "ask e1.1 A",
      ],
      [refused("e1.1", "neverArrived"), "1<unknown noTarget,ended unknown"],
    ],
  },
  {
    name: "An inherited key that turns out to be another call's is left to it",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [
        home("1", {
          kind: "held",
          target: "A",
          agentIncarnation: "Ai",
          expiresAtMs: 50_000,
        }),
        "ask e1.1 A",
      ],
      [refused("e1.1", "keyReused"), "1<unknown keyReused,ended unknown"],
      [arrived("2", { ...KEYED, fingerprint: "g" }), "findHome r2"],
    ],
  },
  {
    name: "A request that joins another when its home is found leaves nothing",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [arrived("2", KEYED), "findHome r2"],
      [home("1", HERE), "pick r1"],
      [picked("1", "A"), "dispatch e1.1 A"],
      [headed("e1.1"), "1<200A"],
      [ended("e1.1", ""), "1<end,ended answered"],
      [home("2", HERE), "2<200A,2<end,ended merged"],
      [{ type: "callerDisconnected", callerId: "2" }, ""],
    ],
  },
  {
    name: "An inherited key that may have run is unknown; a free one runs",
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
