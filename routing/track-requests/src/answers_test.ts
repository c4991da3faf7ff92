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
    name: "A whole answer is passed on as it comes, and once",
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
    name: "A short answer is asked about, and a corrupt one ends in an error",
    lines: [
      ...sentToA(),
      [headed("e1.1"), "1<200A"],
      [data("e1.1", 0, "ab"), "1<ab"],
      [data("e1.1", 2, "d"), "dropped gap,ask e1.1 A"],
      [ended("e1.1", "abcd"), ""],
      [data("e1.1", 1, "c"), "1<c"],
      [ended("e1.1", "abX"), "1<failed answerCut,ended failed"],
    ],
  },
  {
    name: "A cut answer is started again, compared and continued",
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
    name: "An answer that differs from what was sent ends in an error",
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
    name: "A second answer that is shorter than what was sent is no end",
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
    name: "A slow call that may be repeated is hedged; the first head wins",
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
    name: "A call that may not be repeated is never hedged",
    options: { hedgeAfterMs: 300 },
    lines: [...sentToA(), [TICK, "", 900]],
  },
  {
    name:
      "Nothing is dispatched for a caller that left, nor cut if unrepeatable",
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
    name: "A refusal after part of an answer is a violation and no proof",
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
