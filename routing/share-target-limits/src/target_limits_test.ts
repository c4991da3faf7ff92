import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { TargetLimits } from "./mod.ts";

const WINDOW_MS = 4_000;
const STEP_MS = 10;
const SIMULATED_MS = 12_000;

test("A target without a limit takes requests at any time", () => {
  const limits = createLimits("a");
  limits.recordSend("t", 0);
  assert.equal(limits.readDelayMs("t", 0), 0);
  assert.equal(limits.readSharePerMs("t"), undefined);
});

test("Entries together stay within the limit plus half of it and five requests", () => {
  fc.assert(
    fc.property(
      fc.double({ min: 0, max: 40, noNaN: true }),
      fc.integer({ min: 1, max: 40 }),
      (perSecond, entryCount) => {
        const entries = createEntries(entryCount);
        nameLimit(entries, { target: "t", perSecond });
        const sentAtMs = simulateDemand(entries, "t");
        const allowed = 1.5 * perSecond * WINDOW_MS / 1_000 + 5;
        assert.ok(countMostInWindow(sentAtMs) <= allowed);
      },
    ),
    { numRuns: 60 },
  );
});

test("Entries together use most of a limit", () => {
  for (const perSecond of [1, 2.5, 8, 30]) {
    const entries = createEntries(7);
    nameLimit(entries, { target: "t", perSecond });
    const perSecondSent = simulateDemand(entries, "t").length * 1_000 /
      SIMULATED_MS;
    assert.ok(perSecondSent > 0.7 * perSecond, `${perSecondSent} a second`);
  }
});

test("A limit ends with an answer without one, to a request sent after it was named", () => {
  const limits = createLimits("a");
  const answer = { target: "t", perSecond: 1, sentAtMs: 0 };
  const change = limits.recordAnswer(answer, 100);
  assert.equal(change?.perSecond, 1);
  limits.recordSend("t", 100);
  const late = { target: "t", perSecond: undefined, sentAtMs: 90 };
  assert.equal(limits.recordAnswer(late, 200), undefined);
  assert.ok(limits.readDelayMs("t", 200) > 0);
  const next = { target: "t", perSecond: undefined, sentAtMs: 150 };
  assert.equal(limits.recordAnswer(next, 250)?.perSecond, undefined);
  assert.equal(limits.readDelayMs("t", 250), 0);
});

test("Entries learn of a limit and of its end from each other, the latest report wins", () => {
  const [a, b] = [createLimits("a"), createLimits("b")];
  a.recordAnswer({ target: "t", perSecond: 1, sentAtMs: 0 }, 100);
  const named = a.listReports(150);
  assert.deepEqual(named, [{ target: "t", perSecond: 1, ageMs: 50 }]);
  assert.equal(b.applyReports(named, 150).length, 1);
  assert.deepEqual(b.listReports(150), []);
  a.recordAnswer({ target: "t", perSecond: undefined, sentAtMs: 400 }, 500);
  assert.equal(b.applyReports(a.listReports(500), 500).length, 1);
  assert.equal(b.applyReports([{ ...named[0]!, ageMs: 350 }], 510).length, 0);
  assert.equal(b.readDelayMs("t", 510), 0);
  assert.deepEqual(a.listReports(6_000), []);
});

test("A target that is gone leaves no limit", () => {
  const limits = createLimits("a");
  limits.recordAnswer({ target: "t", perSecond: 1, sentAtMs: 0 }, 0);
  limits.retainTargets(new Set(["u"]));
  assert.equal(limits.readDelayMs("t", 0), 0);
  assert.deepEqual(limits.listReports(0), []);
});

function createLimits(entry: string): TargetLimits {
  return TargetLimits.create({ entry, hash });
}

/** Creates the limits of entries that know each other. */
function createEntries(count: number): readonly TargetLimits[] {
  const names = Array.from({ length: count }, (_, index) => `entry-${index}`);
  return names.map((name) => {
    const limits = createLimits(name);
    limits.setOtherEntries(names.filter((other) => other !== name), 0);
    return limits;
  });
}

/** Names the limit to the first entry, which reports it to the others. */
function nameLimit(
  [first, ...others]: readonly TargetLimits[],
  { target, perSecond }: {
    readonly target: string;
    readonly perSecond: number;
  },
): void {
  first!.recordAnswer({ target, perSecond, sentAtMs: 0 }, 0);
  for (const other of others) other.applyReports(first!.listReports(0), 0);
}

/** Sends whenever an entry may; returns the times of all sends. */
function simulateDemand(
  entries: readonly TargetLimits[],
  target: string,
): readonly number[] {
  const sentAtMs: number[] = [];
  for (let nowMs = 0; nowMs < SIMULATED_MS; nowMs += STEP_MS) {
    for (const entry of entries) {
      while (entry.readDelayMs(target, nowMs) === 0) {
        entry.recordSend(target, nowMs);
        sentAtMs.push(nowMs);
      }
    }
  }
  return sentAtMs;
}

function countMostInWindow(sentAtMs: readonly number[]): number {
  return Math.max(
    0,
    ...sentAtMs.map((fromMs) =>
      sentAtMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS)
        .length
    ),
  );
}

/** FNV-1a, as an unsigned 32-bit number. */
function hash(text: string): number {
  let value = 0x811c9dc5;
  for (const character of text) {
    value = Math.imul(value ^ character.charCodeAt(0), 0x01000193);
  }
  return value >>> 0;
}
