import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createQuarantineState, evaluateFingerprint, step } from "./mod.ts";
import type {
  QuarantineEffect,
  QuarantineEvent,
  QuarantineOptions,
  QuarantineState,
  TargetLoss,
} from "./mod.ts";

const OPTIONS: QuarantineOptions = {
  quarantineMs: 10_000,
  settleMs: 200,
  retentionMs: 60_000,
  maxFingerprints: 100,
};

interface Entry {
  readonly state: QuarantineState;
  readonly feed: (event: QuarantineEvent, nowMs?: number) => void;
  /** Ticks after the settle time; returns the new quarantined fingerprints. */
  readonly settle: (nowMs?: number) => readonly string[];
  readonly kind: (fingerprint: string) => string;
}

function createEntry(options: Partial<QuarantineOptions> = {}): Entry {
  const state = createQuarantineState({ ...OPTIONS, ...options });
  const feed = (event: QuarantineEvent, nowMs = 0) => {
    step(state, event, nowMs);
  };
  const settle = (nowMs = 200) =>
    step(state, { type: "tick" }, nowMs).effects.flatMap((effect) =>
      effect.type === "quarantine" ? [effect.fingerprint] : []
    );
  const kind = (fingerprint: string) =>
    evaluateFingerprint(state, fingerprint).kind;
  return { state, feed, settle, kind };
}

function lost(
  target: string,
  fingerprints: readonly string[],
  alone = false,
): QuarantineEvent {
  const losses = fingerprints.map((fingerprint) => ({
    fingerprint,
    target,
    alone,
  }));
  return { type: "targetLost", losses };
}

test("One lost target makes its requests suspects and quarantines none", () => {
  const entry = createEntry();
  entry.feed(lost("A", ["killer", "innocent"]));
  assert.equal(entry.kind("killer"), "suspect");
  assert.deepEqual(entry.settle(), []);
  assert.equal(entry.kind("killer"), "suspect");
  assert.equal(entry.kind("innocent"), "suspect");
  assert.deepEqual(evaluateFingerprint(entry.state, "innocent"), {
    kind: "suspect",
    avoid: ["A"],
    clearInMs: OPTIONS.retentionMs - 200,
  });
  assert.equal(entry.kind("other"), "clear");
});

interface Case {
  readonly name: string;
  readonly losses: readonly QuarantineEvent[];
  readonly quarantined: readonly string[];
}

const CASES: readonly Case[] = [
  {
    name: "Does not quarantine for the same target lost twice",
    losses: [lost("A", ["killer"], true), lost("A", ["killer"], true)],
    quarantined: [],
  },
  {
    name: "Quarantines the only request that was lost with two targets",
    losses: [
      lost("A", ["killer", "innocent1", "innocent2"]),
      lost("B", ["innocent3", "killer"]),
    ],
    quarantined: ["killer"],
  },
  {
    name: "Quarantines none of two requests lost with the same two targets",
    losses: [lost("A", ["killer", "innocent"]), lost("B", ["innocent"])].concat(
      lost("B", ["killer"]),
    ),
    quarantined: [],
  },
  {
    name:
      "Quarantines one of two requests with the same losses once it is lost alone",
    losses: [
      lost("A", ["killer", "innocent"]),
      lost("B", ["killer", "innocent"]),
      lost("C", ["killer"], true),
    ],
    quarantined: ["killer"],
  },
  {
    name: "Does not quarantine a suspect that ran alongside an unknown culprit",
    losses: [
      lost("A", ["innocent"]),
      lost("B", ["innocent"], true),
      lost("B", ["killer"]),
      lost("A", ["killer"]),
    ],
    quarantined: [],
  },
  {
    name: "Counts losses reported by other entries, in any order",
    losses: [
      lost("B", ["killer"], true),
      {
        type: "lossesReported",
        losses: [{ fingerprint: "killer", target: "A", alone: false }],
      },
    ],
    quarantined: ["killer"],
  },
];

for (const { name, losses, quarantined } of CASES) {
  test(name, () => {
    const entry = createEntry();
    losses.forEach((event) => entry.feed(event));
    assert.deepEqual(entry.settle(), quarantined);
    const kind = quarantined.length > 0 ? "quarantined" : "suspect";
    assert.equal(entry.kind("killer"), kind);
    assert.notEqual(entry.kind("innocent"), "quarantined");
  });
}

test("Refuses a fingerprint with two losses until it is evaluated", () => {
  const entry = createEntry();
  entry.feed(lost("A", ["killer"]));
  entry.feed(lost("B", ["killer"], true));
  assert.deepEqual(evaluateFingerprint(entry.state, "killer"), {
    kind: "quarantined",
    retryAfterMs: 200,
  });
});

test("Applies a quarantine reported by another entry", () => {
  const entry = createEntry();
  entry.feed({ type: "quarantineReported", fingerprint: "killer" });
  assert.equal(entry.kind("killer"), "quarantined");
});

test("An answered request is not the culprit, whichever entry reports losses", () => {
  const entry = createEntry();
  entry.feed(lost("A", ["popular"]));
  entry.feed({ type: "answered", fingerprint: "popular" });
  assert.equal(entry.kind("popular"), "clear");
  const { losses } = lost("B", ["popular"]) as {
    losses: readonly TargetLoss[];
  };
  entry.feed({ type: "lossesReported", losses });
  entry.feed(lost("C", ["popular"]));
  entry.feed({ type: "quarantineReported", fingerprint: "popular" });
  assert.deepEqual(entry.settle(), []);
  assert.equal(entry.kind("popular"), "clear");
  entry.feed({ type: "tick" }, OPTIONS.retentionMs);
  assert.equal(entry.state.suspicions.size, 0);
});

test("An answer ends a quarantine", () => {
  const entry = createEntry();
  for (const target of ["A", "B", "C"]) entry.feed(lost(target, ["popular"]));
  assert.deepEqual(entry.settle(), ["popular"]);
  entry.feed({ type: "answered", fingerprint: "popular" });
  assert.equal(entry.kind("popular"), "clear");
});

test("Three lost targets without an answer identify a culprit", () => {
  const entry = createEntry();
  for (const target of ["A", "B"]) {
    entry.feed(lost(target, ["killer", "other"]));
  }
  assert.deepEqual(entry.settle(), []);
  entry.feed(lost("C", ["killer"]), 300);
  assert.deepEqual(entry.settle(500), ["killer"]);
});

test("A quarantine expires, and one more lost target renews it", () => {
  const entry = createEntry();
  entry.feed(lost("A", ["killer"]));
  entry.feed(lost("B", ["killer"], true));
  entry.settle(200);
  entry.feed({ type: "tick" }, 10_199);
  assert.deepEqual(evaluateFingerprint(entry.state, "killer"), {
    kind: "quarantined",
    retryAfterMs: 1,
  });
  entry.feed({ type: "tick" }, 10_200);
  assert.equal(entry.kind("killer"), "suspect");
  entry.feed(lost("C", ["killer"], true), 10_201);
  assert.deepEqual(entry.settle(10_401), ["killer"]);
  entry.feed({ type: "tick" }, 90_000);
  assert.equal(entry.kind("killer"), "clear");
});

test("Bounds the suspicions and evicts quarantined ones last", () => {
  const entry = createEntry({ maxFingerprints: 3 });
  entry.feed(lost("A", ["killer"]));
  entry.feed(lost("B", ["killer"], true));
  entry.settle();
  for (let at = 0; at < 10; at++) entry.feed(lost("C", [`innocent${at}`]));
  assert.ok(entry.state.suspicions.size <= 3);
  assert.equal(entry.kind("killer"), "quarantined");
});

interface Resend {
  readonly entry: number;
  readonly alongside: readonly number[];
}

const RESENDS: fc.Arbitrary<readonly Resend[]> = fc.array(
  fc.record({
    entry: fc.integer({ min: 0, max: 2 }),
    alongside: fc.uniqueArray(fc.integer({ min: 0, max: 9 }), { maxLength: 6 }),
  }),
  { minLength: 3, maxLength: 8 },
);

/** Repeats the killer; a suspect never runs alongside another suspect. */
function countLostTargets(resends: readonly Resend[]): number {
  const entries = [createEntry(), createEntry(), createEntry()];
  let lostTargets = 0;
  for (const [round, { entry: entryIndex, alongside }] of resends.entries()) {
    const entry = entries[entryIndex]!;
    const kind = entry.kind("killer");
    if (kind === "quarantined") continue;
    const alone = kind === "suspect";
    const others = alongside.map((innocent) => `innocent${innocent}`)
      .filter((innocent) => !alone || entry.kind(innocent) === "clear");
    const target = `target${lostTargets}`;
    lostTargets += 1;
    const event = lost(target, ["killer", ...others], alone);
    const { effects } = step(entry.state, event, round);
    for (const other of entries) reportLosses(other, effects);
  }
  for (const { settle, state } of entries) {
    settle(1_000);
    for (const fingerprint of state.suspicions.keys()) {
      const kind = evaluateFingerprint(state, fingerprint).kind;
      assert.equal(kind === "quarantined", fingerprint === "killer");
    }
  }
  return lostTargets;
}

function reportLosses(
  entry: Entry,
  effects: readonly QuarantineEffect[],
): void {
  for (const effect of effects) {
    if (effect.type !== "broadcastLosses") continue;
    entry.feed({ type: "lossesReported", losses: effect.losses });
  }
}

test("A culprit crashes two targets, whatever runs alongside it", () => {
  fc.assert(
    fc.property(RESENDS, (resends) => {
      assert.equal(countLostTargets(resends), 2);
    }),
    { seed: 5, numRuns: 300 },
  );
});
