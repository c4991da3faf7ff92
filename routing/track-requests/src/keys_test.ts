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
  HERE,
  home,
  IDEMPOTENT,
  KEYED,
  keyedToA,
  noTarget,
  refused,
  testCases,
  TICK,
} from "./test_fixtures.ts";
import type { Case } from "./test_fixtures.ts";

const CASES: readonly Case[] = [
  {
    name: "A repeat joins the request and has the answer from its beginning",
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
    name: "A key used for another call is an error, running or ended",
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
    name: "Another organisation never sees the answer",
    lines: [
      ...keyedToA(),
      [
        arrived("2", { ...KEYED, organisation: "other" }),
        "violation answerStaysInOrganisation,2<notRun keyReused neverDispatched,ended merged",
      ],
    ],
  },
  {
    name: "After unknown, a keyed attempt is followed and its answer kept",
    lines: [
      ...keyedToA(),
      [TICK, "1<unknown deadlineExceeded", 10_000],
      [headed("e1.1"), "", 11_000],
      [ended("e1.1", ""), "ended answered", 11_000],
      [arrived("2", KEYED), "2<200A,2<end,ended merged", 11_000],
    ],
  },
  {
    name: "After unknown, a refusal makes a keyed call free again",
    lines: [
      ...keyedToA(),
      [TICK, "1<unknown deadlineExceeded", 10_000],
      [refused("e1.1", "neverArrived"), "ended notRun", 11_000],
      [arrived("2", KEYED), "findHome r2", 11_000],
    ],
  },
  {
    name: "A lost keyed call stays unknown",
    lines: [
      ...keyedToA(),
      [AGENT_A_LOST, "1<unknown attemptLost,ended unknown"],
      [arrived("2", KEYED), "2<unknown attemptLost,ended merged"],
    ],
  },
  {
    name: "An expired ticket's key is unknown, as it may have run",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [
        home("1", { kind: "local", expiresAtMs: 5 }),
        "1<unknown ticketExpired,ended unknown",
        5,
      ],
    ],
  },
  {
    name: "No key is called not run by an entry that may have been replaced",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [home("1", HERE), "pick r1"],
      [{ type: "arbiterClosed" }, ""],
      [noTarget("1"), "1<unknown arbiterUnsure,ended unknown"],
    ],
  },
  {
    name: "The word of an agent that the incarnation is closed counts too",
    lines: [
      ...keyedToA(),
      [refused("e1.1", "incarnationClosed"), "pick r1 not A"],
      [noTarget("1"), "1<unknown arbiterUnsure,ended unknown"],
    ],
  },
  {
    name: "A full table refuses new keys and keeps those it has",
    options: { maxKeys: 1 },
    lines: [
      ...keyedToA(),
      [
        arrived("2", { key: { keyId: "l", homeIncarnation: "e1" } }),
        "findHome r2",
      ],
      [home("2", HERE), "2<notRun tableFull neverDispatched,ended notRun"],
      [arrived("3", KEYED), "ended merged"],
    ],
  },
  {
    name: "A key that may have run is not called not run, though repeatable",
    lines: [
      ...keyedToA(IDEMPOTENT),
      [failed("e1.1", true), "pick r1 not A"],
      [noTarget("1"), "1<failed noTarget,ended failed"],
      [arrived("2", { ...KEYED, ...IDEMPOTENT }), "findHome r2"],
      [home("2", HERE), "pick r2"],
      [noTarget("2"), "2<failed noTarget,ended failed"],
      [
        arrived("3", { ...KEYED, ...IDEMPOTENT, fingerprint: "g" }),
        "3<unknown keyReused,ended merged",
      ],
    ],
  },
];

testCases(CASES);

test("Kept answers stay within their bytes, and results expire", () => {
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
