import {
  arrived,
  failed,
  headed,
  IDEMPOTENT,
  lost,
  noTarget,
  picked,
  refused,
  sentToA,
  testCases,
  TICK,
} from "./test_fixtures.ts";
import type { Case } from "./test_fixtures.ts";

const CASES: readonly Case[] = [
  {
    name: "Applies changed timing to requests in progress",
    lines: [
      ...sentToA(),
      [
        {
          type: "timingChanged",
          progressTimeoutMs: 100,
          hedgeAfterMs: undefined,
        },
        "",
      ],
      [TICK, "", 99],
      [TICK, "query e1.1 A", 100],
    ],
  },
  {
    name: "Reports notRun for a request that was never dispatched",
    lines: [
      [arrived("1"), "pick r1"],
      [noTarget("1"), "1<notRun noTarget neverDispatched,ended notRun"],
      [arrived("2"), "pick r2"],
      [TICK, "2<notRun deadlineExceeded neverDispatched,ended notRun", 10_000],
      [picked("2", "A"), ""],
    ],
  },
  {
    name:
      "Retries a refused attempt elsewhere; reports notRun without a target",
    lines: [
      ...sentToA(),
      [refused("e1.1"), "pick r1 not A"],
      [picked("1", "B"), "dispatch e1.2 B"],
      [refused("e1.2"), "pick r1 not A+B"],
      [noTarget("1"), "1<notRun noTarget refusedByAgent,ended notRun"],
    ],
  },
  {
    name: "Neither retries a request that may have run nor reports notRun",
    lines: [
      ...sentToA(),
      [failed("e1.1", true), "1<unknown targetFailed,ended unknown"],
    ],
  },
  {
    name: "Ends a request that fails after its head as failed",
    lines: [
      ...sentToA(),
      [headed("e1.1"), "1<200A"],
      [failed("e1.1", true), "1<failed targetFailed,ended failed"],
    ],
  },
  {
    name:
      "Queries an attempt without frames, with backoff; unknown at the deadline",
    lines: [
      ...sentToA(),
      [TICK, "", 999],
      [TICK, "query e1.1 A", 1_000],
      [TICK, "", 2_999],
      [TICK, "query e1.1 A", 3_000],
      [TICK, "1<unknown deadlineExceeded,ended unknown", 10_000],
    ],
  },
  {
    name: "Retries an attempt that never arrived, also at the same target",
    lines: [
      ...sentToA(),
      [lost("e1.1"), "query e1.1 A"],
      [lost("e1.1"), ""],
      [refused("e1.1", "neverArrived"), "pick r1"],
      [picked("1", "A"), "dispatch e1.2 A"],
      [refused("e1.2"), "pick r1 not A"],
    ],
  },
  {
    name: "Repeats a query whose connection was lost after a short delay",
    lines: [
      ...sentToA(IDEMPOTENT),
      [lost("e1.1"), "query e1.1 A"],
      [lost("e1.1"), "", 1],
      [TICK, "", 249],
      [TICK, "query e1.1 A", 250],
      [lost("e1.1"), "", 251],
      [TICK, "", 749],
      [TICK, "cancel e1.1,pick r1 not A", 750],
    ],
  },
  {
    name: "Retries an idempotent request after two unanswered queries",
    lines: [
      ...sentToA(IDEMPOTENT),
      [TICK, "query e1.1 A", 1_000],
      [TICK, "query e1.1 A", 3_000],
      [TICK, "cancel e1.1,pick r1 not A", 7_000],
      [picked("1", "B"), "dispatch e1.2 B", 7_000],
    ],
  },
  {
    name: "Limits retries to the budget",
    options: { retryBurst: 1 },
    lines: [
      ...sentToA(IDEMPOTENT),
      [failed("e1.1", true), "pick r1 not A"],
      [picked("1", "B"), "dispatch e1.2 B"],
      [failed("e1.2", true), "1<failed targetFailed,ended failed"],
    ],
  },
  {
    name: "Treats a head that was not sent as a proof that nothing ran",
    lines: [
      ...sentToA(),
      [{ type: "dispatchFailed", attemptId: "e1.1" }, "pick r1 not A"],
      [noTarget("1"), "1<notRun noTarget neverDispatched,ended notRun"],
    ],
  },
];

testCases(CASES);
