import {
  admitted,
  AGENT_A_LOST,
  arrived,
  data,
  ended,
  headed,
  IDEMPOTENT,
  picked,
  refused,
  sentToA,
  testCases,
  TICK,
} from "./test_fixtures.ts";
import type { Case } from "./test_fixtures.ts";

const CASES: readonly Case[] = [
  {
    name: "Forwards a complete answer as it arrives, without repeated frames",
    lines: [
      ...sentToA(),
      [admitted("e1.1"), ""],
      [headed("e1.1"), "1<200A"],
      [data("e1.1", 0, "ab"), "1<ab"],
      [data("e1.1", 0, "ab"), "dropped repeated"],
      [data("e1.1", 1, "c"), "1<c"],
      [ended("e1.1", "abc"), "1<end,ended answered"],
      [ended("e1.1", "abc"), "dropped unknownAttempt"],
    ],
  },
  {
    name:
      "Queries the agent about an incomplete answer, fails on a corrupt one",
    lines: [
      ...sentToA(),
      [headed("e1.1"), "1<200A"],
      [data("e1.1", 0, "ab"), "1<ab"],
      [data("e1.1", 2, "d"), "dropped gap,query e1.1 A"],
      [ended("e1.1", "abcd"), ""],
      [data("e1.1", 1, "c"), "1<c"],
      [ended("e1.1", "abX"), "1<failed answerCut,ended failed"],
    ],
  },
  {
    name: "Restarts an interrupted answer, compares it and continues",
    lines: [
      ...sentToA(IDEMPOTENT),
      [headed("e1.1"), "1<200A"],
      [data("e1.1", 0, "abc"), "1<abc"],
      [AGENT_A_LOST, "crashed A,pick r1 not A"],
      [picked("1", "B"), "dispatch e1.2 B"],
      [headed("e1.2"), ""],
      [data("e1.2", 0, "ab"), ""],
      [data("e1.1", 1, "X"), "dropped closedAttempt"],
      [data("e1.2", 1, "cd"), "1<d"],
      [ended("e1.2", "abcd"), "1<end,ended answered"],
    ],
  },
  {
    name: "Fails if the second answer differs from what was sent",
    lines: [
      ...sentToA(IDEMPOTENT),
      [headed("e1.1"), "1<200A"],
      [data("e1.1", 0, "abc"), "1<abc"],
      [AGENT_A_LOST, "crashed A,pick r1 not A"],
      [picked("1", "B"), "dispatch e1.2 B"],
      [headed("e1.2"), ""],
      [data("e1.2", 0, "aX"), "1<failed answerDiffers,ended failed"],
    ],
  },
  {
    name: "Fails if the second answer ends before what was sent",
    lines: [
      ...sentToA(IDEMPOTENT),
      [headed("e1.1"), "1<200A"],
      [data("e1.1", 0, "abc"), "1<abc"],
      [AGENT_A_LOST, "crashed A,pick r1 not A"],
      [picked("1", "B"), "dispatch e1.2 B"],
      [headed("e1.2"), ""],
      [data("e1.2", 0, "a"), ""],
      [ended("e1.2", "a"), "1<failed answerDiffers,ended failed"],
    ],
  },
  {
    name: "Hedges a slow idempotent request; the first head wins",
    options: { hedgeAfterMs: 300 },
    lines: [
      ...sentToA(IDEMPOTENT),
      [TICK, "hedge r1 not A", 300],
      [picked("1", "B"), "dispatch e1.2 B", 300],
      [TICK, "", 700],
      [headed("e1.2"), "1<200B,cancel e1.1", 700],
      [headed("e1.1"), "dropped closedAttempt", 700],
    ],
  },
  {
    name: "Never hedges a request that is not idempotent",
    options: { hedgeAfterMs: 300 },
    lines: [...sentToA(), [TICK, "", 900]],
  },
  {
    name:
      "Ignores targets after the caller disconnected; cancels only idempotent attempts",
    lines: [
      [arrived("1"), "pick r1"],
      [{ type: "callerDisconnected", callerId: "1" }, "ended abandoned"],
      [picked("1", "A"), ""],
      [arrived("2", IDEMPOTENT), "pick r2"],
      [picked("2", "A"), "dispatch e1.1 A"],
      [
        { type: "callerDisconnected", callerId: "2" },
        "cancel e1.1,ended abandoned",
      ],
      [arrived("3"), "pick r3"],
      [picked("3", "A"), "dispatch e1.2 A"],
      [{ type: "callerDisconnected", callerId: "3" }, "ended abandoned"],
    ],
  },
  {
    name: "Treats a refusal after a head as a violation, not as a proof",
    lines: [
      ...sentToA(),
      [headed("e1.1"), "1<200A"],
      [
        refused("e1.1"),
        "violation refusedNeverAnswered,1<failed noTarget,ended failed",
      ],
    ],
  },
];

testCases(CASES);
