import assert from "node:assert/strict";
import { test } from "node:test";
import {
  AGENT_A_LOST,
  arrived,
  createEntry,
  data,
  ended,
  failed,
  headed,
  home,
  IDEMPOTENT,
  KEYED,
  keyedToA,
  LOCAL_HOME,
  noTarget,
  refused,
  testCases,
  TICK,
} from "./test_fixtures.ts";
import type { Case } from "./test_fixtures.ts";

const CASES: readonly Case[] = [
  {
    name:
      "Sends a repeat the answer of the active or ended request from its start",
    lines: [
      ...keyedToA(),
      [headed("e1.1"), "1<200A"],
      [data("e1.1", 0, "ab"), "1<ab"],
      [arrived("2", KEYED), "2<200A,2<ab,ended merged"],
      [data("e1.1", 1, "c"), "1<c,2<c"],
      [ended("e1.1", "abc"), "1<end,2<end,ended answered"],
      [arrived("3", KEYED), "3<200A,3<ab,3<c,3<end,ended merged"],
    ],
  },
  {
    name: "Rejects a key reused for another request, active or ended",
    lines: [
      ...keyedToA(),
      [
        arrived("2", { ...KEYED, fingerprint: "g" }),
        "2<notRun keyReused neverDispatched,ended merged",
      ],
      [headed("e1.1"), "1<200A"],
      [ended("e1.1", ""), "1<end,ended answered"],
      [
        arrived("3", { ...KEYED, fingerprint: "g" }),
        "3<notRun keyReused neverDispatched,ended merged",
      ],
    ],
  },
  {
    name: "Never sends an answer to another organisation",
    lines: [
      ...keyedToA(),
      [
        arrived("2", { ...KEYED, organisation: "other" }),
        "violation answerStaysInOrganisation,2<notRun keyReused neverDispatched,ended merged",
      ],
    ],
  },
  {
    name:
      "Tracks a keyed attempt after the outcome unknown and keeps its answer",
    lines: [
      ...keyedToA(),
      [TICK, "1<unknown deadlineExceeded", 10_000],
      [headed("e1.1"), "", 11_000],
      [ended("e1.1", ""), "ended answered", 11_000],
      [arrived("2", KEYED), "2<200A,2<end,ended merged", 11_000],
    ],
  },
  {
    name:
      "Releases the key if the attempt is refused after the outcome unknown",
    lines: [
      ...keyedToA(),
      [TICK, "1<unknown deadlineExceeded", 10_000],
      [refused("e1.1", "neverArrived"), "ended notRun", 11_000],
      [arrived("2", KEYED), "findHome r2", 11_000],
    ],
  },
  {
    name: "Repeats the outcome unknown for a key whose attempt was lost",
    lines: [
      ...keyedToA(),
      [AGENT_A_LOST, "1<unknown attemptLost,ended unknown"],
      [arrived("2", KEYED), "2<unknown attemptLost,ended merged"],
    ],
  },
  {
    name: "Ends a key with an expired ticket as unknown, as it may have run",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [
        home("1", { kind: "here", expiresAtMs: 5 }),
        "1<unknown ticketExpired,ended unknown",
        5,
      ],
    ],
  },
  {
    name: "Does not report notRun if this entry was closed",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [home("1", LOCAL_HOME), "pick r1"],
      [{ type: "arbiterClosed" }, ""],
      [noTarget("1"), "1<unknown arbiterUnsure,ended unknown"],
    ],
  },
  {
    name: "Does not report notRun if an agent says that this entry was closed",
    lines: [
      ...keyedToA(),
      [refused("e1.1", "incarnationClosed"), "pick r1 not A"],
      [noTarget("1"), "1<unknown arbiterUnsure,ended unknown"],
    ],
  },
  {
    name: "Refuses new keys when the table is full and keeps those it has",
    options: { maxKeys: 1 },
    lines: [
      ...keyedToA(),
      [
        arrived("2", { key: { keyId: "l", homeIncarnation: "e1" } }),
        "findHome r2",
      ],
      [
        home("2", LOCAL_HOME),
        "2<notRun tableFull neverDispatched,ended notRun",
      ],
      [arrived("3", KEYED), "ended merged"],
    ],
  },
  {
    name: "Does not report notRun for an idempotent key that may have run",
    lines: [
      ...keyedToA(IDEMPOTENT),
      [failed("e1.1", true), "pick r1 not A"],
      [noTarget("1"), "1<failed noTarget,ended failed"],
      [arrived("2", { ...KEYED, ...IDEMPOTENT }), "findHome r2"],
      [home("2", LOCAL_HOME), "pick r2"],
      [noTarget("2"), "2<failed noTarget,ended failed"],
      [
        arrived("3", { ...KEYED, ...IDEMPOTENT, fingerprint: "g" }),
        "3<unknown keyReused,ended merged",
      ],
    ],
  },
];

testCases(CASES);

test("Kept answers stay within the byte limit, and results expire", () => {
  const entry = createEntry({ maxKeptBytes: 3 });
  const text = "abcd";
  for (const [event] of keyedToA()) entry.feed(event);
  entry.feed(headed("e1.1"));
  entry.feed(data("e1.1", 0, text));
  entry.feed(ended("e1.1", text));
  assert.equal(entry.figures().keptBytes, 0);
  assert.equal(
    entry.feed(arrived("2", KEYED)),
    "2<failed answerNotKept,ended merged",
  );
  assert.equal(entry.figures().keys, 1);
  entry.feed(TICK, 50_000);
  assert.deepEqual(entry.figures(), {
    requests: 0,
    openAttempts: 0,
    callers: 0,
    keys: 0,
    keptBytes: 0,
  });
});
