import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createQuarantineState, judge, step } from "./mod.ts";
import type {
  Loss,
  QuarantineEffect,
  QuarantineEvent,
  QuarantineOptions,
  QuarantineState,
} from "./mod.ts";

const OPTIONS: QuarantineOptions = {
  quarantineMs: 10_000,
  memoryMs: 60_000,
  maxFingerprints: 100,
};

interface Entry {
  readonly state: QuarantineState;
  /** Fingerprints that the event puts into quarantine. */
  readonly feed: (event: QuarantineEvent, nowMs?: number) => readonly string[];
  readonly kind: (fingerprint: string) => string;
}

function createEntry(options: Partial<QuarantineOptions> = {}): Entry {
  const state = createQuarantineState({ ...OPTIONS, ...options });
  const feed = (event: QuarantineEvent, nowMs = 0) =>
    step(state, event, nowMs).effects.flatMap((effect) =>
      effect.type === "quarantine" ? [effect.fingerprint] : []
    );
  const kind = (fingerprint: string) => judge(state, fingerprint).kind;
  return { state, feed, kind };
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
  assert.deepEqual(entry.feed(lost("A", ["killer", "innocent"])), []);
  assert.equal(entry.kind("killer"), "suspect");
  assert.equal(entry.kind("innocent"), "suspect");
  assert.equal(entry.kind("other"), "clear");
});

test("The same target lost twice blames nobody", () => {
  const entry = createEntry();
  entry.feed(lost("A", ["killer"], true));
  assert.deepEqual(entry.feed(lost("A", ["killer"], true)), []);
});

test("The only one that was lost with two targets is quarantined", () => {
  const entry = createEntry();
  entry.feed(lost("A", ["killer", "innocent1", "innocent2"]));
  assert.deepEqual(entry.feed(lost("B", ["innocent3", "killer"])), ["killer"]);
  assert.equal(entry.kind("killer"), "quarantined");
  for (const innocent of ["innocent1", "innocent2", "innocent3"]) {
    assert.equal(entry.kind(innocent), "suspect");
  }
});

test("Two that were lost with the same two targets are told apart by a run alone", () => {
  const entry = createEntry();
  entry.feed(lost("A", ["killer", "innocent"]));
  assert.deepEqual(entry.feed(lost("B", ["killer", "innocent"])), []);
  assert.deepEqual(entry.feed(lost("C", ["killer"], true)), ["killer"]);
  assert.equal(entry.kind("innocent"), "suspect");
});

test("Losses that other entries saw count, whichever comes first", () => {
  const entry = createEntry();
  const told: Loss = { fingerprint: "killer", target: "A", alone: false };
  entry.feed({ type: "lossesTold", losses: [told] });
  assert.deepEqual(entry.feed(lost("B", ["killer"], true)), ["killer"]);
  const late = createEntry();
  late.feed(lost("B", ["killer", "innocent"], true));
  assert.deepEqual(late.feed({ type: "lossesTold", losses: [told] }), [
    "killer",
  ]);
  const other = createEntry();
  other.feed({ type: "quarantineTold", fingerprint: "killer" });
  assert.equal(other.kind("killer"), "quarantined");
});

test("A quarantine ends, and one more lost target begins it again", () => {
  const entry = createEntry();
  entry.feed(lost("A", ["killer"]));
  entry.feed(lost("B", ["killer"], true));
  entry.feed({ type: "tick" }, 9_999);
  assert.deepEqual(judge(entry.state, "killer"), {
    kind: "quarantined",
    retryAfterMs: 1,
  });
  entry.feed({ type: "tick" }, 10_000);
  assert.equal(entry.kind("killer"), "suspect");
  const again = entry.feed(lost("C", ["killer"], true), 10_001);
  assert.deepEqual(again, ["killer"]);
  entry.feed({ type: "tick" }, 90_000);
  assert.equal(entry.kind("killer"), "clear");
});

test("What is remembered is bounded, and a quarantine outlasts suspicions", () => {
  const entry = createEntry({ maxFingerprints: 3 });
  entry.feed(lost("A", ["killer"]));
  entry.feed(lost("B", ["killer"], true));
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
  for (const { entry: at, beside } of resends) {
    const entry = entries[at]!;
    const kind = entry.kind("killer");
    if (kind === "quarantined") continue;
    const alone = kind === "suspect";
    const others = beside.map((innocent) => `innocent${innocent}`)
      .filter((innocent) => !alone || entry.kind(innocent) === "clear");
    const target = `target${lostTargets}`;
    lostTargets += 1;
    const event = lost(target, ["killer", ...others], alone);
    const { effects } = step(entry.state, event, 0);
    for (const other of entries) tell(other, effects);
  }
  for (const { state } of entries) {
    for (const fingerprint of state.suspicions.keys()) {
      const kind = judge(state, fingerprint).kind;
      assert.equal(kind === "quarantined", fingerprint === "killer");
    }
  }
  return lostTargets;
}

function tell(entry: Entry, effects: readonly QuarantineEffect[]): void {
  for (const effect of effects) {
    if (effect.type === "tellLosses") {
      entry.feed({ type: "lossesTold", losses: effect.losses });
    } else {
      const { fingerprint } = effect;
      entry.feed({ type: "quarantineTold", fingerprint });
    }
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
