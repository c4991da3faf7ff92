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
  /** Fingerprints that are quarantined when their losses have settled. */
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

test("One lost target makes suspects of what it ran and blames nobody", () => {
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
  readonly blamed: readonly string[];
}

const CASES: readonly Case[] = [
  {
    name: "The same target lost twice blames nobody",
    losses: [lost("A", ["killer"], true), lost("A", ["killer"], true)],
    blamed: [],
  },
  {
    name: "The only one that was lost with two targets is quarantined",
    losses: [
      lost("A", ["killer", "innocent1", "innocent2"]),
      lost("B", ["innocent3", "killer"]),
    ],
    blamed: ["killer"],
  },
  {
    name: "Two that were lost with the same two targets are not blamed",
    losses: [lost("A", ["killer", "innocent"]), lost("B", ["innocent"])].concat(
      lost("B", ["killer"]),
    ),
    blamed: [],
  },
  {
    name: "They are told apart by the one that loses a target alone",
    losses: [
      lost("A", ["killer", "innocent"]),
      lost("B", ["killer", "innocent"]),
      lost("C", ["killer"], true),
    ],
    blamed: ["killer"],
  },
  {
    name:
      "One that ran as a suspect beside a culprit not yet known is not blamed",
    losses: [
      lost("A", ["innocent"]),
      lost("B", ["innocent"], true),
      lost("B", ["killer"]),
      lost("A", ["killer"]),
    ],
    blamed: [],
  },
  {
    name: "What other entries saw counts, whichever comes first",
    losses: [
      lost("B", ["killer"], true),
      {
        type: "lossesReported",
        losses: [{ fingerprint: "killer", target: "A", alone: false }],
      },
    ],
    blamed: ["killer"],
  },
];

for (const { name, losses, blamed } of CASES) {
  test(name, () => {
    const entry = createEntry();
    losses.forEach((event) => entry.feed(event));
    assert.deepEqual(entry.settle(), blamed);
    const kind = blamed.length > 0 ? "quarantined" : "suspect";
    assert.equal(entry.kind("killer"), kind);
    assert.notEqual(entry.kind("innocent"), "quarantined");
  });
}

test("A fingerprint with two losses is held while it is judged", () => {
  const entry = createEntry();
  entry.feed(lost("A", ["killer"]));
  entry.feed(lost("B", ["killer"], true));
  assert.deepEqual(evaluateFingerprint(entry.state, "killer"), {
    kind: "quarantined",
    retryAfterMs: 200,
  });
});

test("A quarantine that another entry tells of holds here", () => {
  const entry = createEntry();
  entry.feed({ type: "quarantineReported", fingerprint: "killer" });
  assert.equal(entry.kind("killer"), "quarantined");
});

test("What a target has answered is not to blame, whoever tells of losses", () => {
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

test("Three lost targets and no answer are proof, whatever ran beside", () => {
  const entry = createEntry();
  for (const target of ["A", "B"]) {
    entry.feed(lost(target, ["killer", "other"]));
  }
  assert.deepEqual(entry.settle(), []);
  entry.feed(lost("C", ["killer"]), 300);
  assert.deepEqual(entry.settle(500), ["killer"]);
});

test("A quarantine ends, and one more lost target begins it again", () => {
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

test("What is remembered is bounded, and a quarantine outlasts suspicions", () => {
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
  readonly beside: readonly number[];
}

const RESENDS: fc.Arbitrary<readonly Resend[]> = fc.array(
  fc.record({
    entry: fc.integer({ min: 0, max: 2 }),
    beside: fc.uniqueArray(fc.integer({ min: 0, max: 9 }), { maxLength: 6 }),
  }),
  { minLength: 3, maxLength: 8 },
);

/** Sends the killer again and again; a suspect never runs beside another. */
function countLostTargets(resends: readonly Resend[]): number {
  const entries = [createEntry(), createEntry(), createEntry()];
  let lostTargets = 0;
  for (const [round, { entry: at, beside }] of resends.entries()) {
    const entry = entries[at]!;
    const kind = entry.kind("killer");
    if (kind === "quarantined") continue;
    const alone = kind === "suspect";
    const others = beside.map((innocent) => `innocent${innocent}`)
      .filter((innocent) => !alone || entry.kind(innocent) === "clear");
    const target = `target${lostTargets}`;
    lostTargets += 1;
    const event = lost(target, ["killer", ...others], alone);
    const { effects } = step(entry.state, event, round);
    for (const other of entries) tell(other, effects);
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

function tell(entry: Entry, effects: readonly QuarantineEffect[]): void {
  for (const effect of effects) {
    if (effect.type !== "broadcastLosses") continue;
    entry.feed({ type: "lossesReported", losses: effect.losses });
  }
}

test("A request that kills its targets costs two, whoever runs beside it", () => {
  fc.assert(
    fc.property(RESENDS, (resends) => {
      assert.equal(countLostTargets(resends), 2);
    }),
    { seed: 5, numRuns: 300 },
  );
});
