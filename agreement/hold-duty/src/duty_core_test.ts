import assert from "node:assert/strict";
import { test } from "node:test";
import { selectPreferred, startDuty, stepDuty } from "./mod.ts";
import type { DutyEffect, DutyEvent, DutyObject, DutyState } from "./mod.ts";

const NAMES = ["e1", "e2", "e3", "e4"];

test("A member that leaves moves only its own duties", () => {
  const duties = Array.from({ length: 400 }, (_, index) => `duty${index}`);
  const before = duties.map((duty) => prefer(duty, NAMES));
  const after = duties.map((duty) => prefer(duty, NAMES.slice(0, 3)));
  duties.forEach((_, index) => {
    if (before[index] !== "e4") assert.equal(after[index], before[index]);
  });
  for (const name of NAMES) {
    const share = before.filter((holder) => holder === name).length / 400;
    assert.ok(share > 0.15 && share < 0.35, `${name} holds ${share}`);
  }
  assert.equal(prefer("duty", []), undefined);
});

test("The preferred entry claims a free duty by one conditional write", () => {
  const run = createRun();
  run.handle(seen(null), 0);
  const [write] = run.effects;
  assert.deepEqual(write, {
    type: "write",
    record: { holder: SELF, incarnation: "i1" },
    changeId: `d/${SELF}/i1/1`,
    expectedRevision: undefined,
  });
  run.handle(written(7, `d/${SELF}/i1/1`), 1);
  assert.equal(run.state.fencingNumber, 7);
});

test("A holder writes nothing while it keeps the duty", () => {
  const run = createHolder(7);
  for (let nowMs = 2; nowMs < 1e6; nowMs += 10_000) {
    run.handle({ type: "tick" }, nowMs);
  }
  assert.deepEqual(run.effects, []);
});

const OTHER = NAMES.find((name) => name !== prefer("d", NAMES))!;
const SELF = prefer("d", NAMES)!;

/** Delay after which the preferred entry replaces each kind of holder. */
const REPLACEMENT_CASES = [
  { holder: "gone", incarnation: "x", afterMs: 1_000 },
  { holder: OTHER, incarnation: "former", afterMs: 1_000 },
  { holder: OTHER, incarnation: "i1", afterMs: 10_000 },
  { holder: SELF, incarnation: "former", afterMs: 0 },
] as const;

for (const { holder, incarnation, afterMs } of REPLACEMENT_CASES) {
  test(`The preferred entry replaces ${holder}/${incarnation} after ${afterMs} ms`, () => {
    const run = createRun();
    run.handle(seen(createObject(5, { holder, incarnation })), 0);
    run.handle({ type: "tick" }, afterMs - 1);
    assert.equal(run.effects.length, afterMs === 0 ? 1 : 0);
    run.handle({ type: "tick" }, afterMs);
    assert.equal(run.effects[0]?.type, "write");
  });
}

test("A holder that flaps in the list of entries keeps its duty", () => {
  const run = createRun();
  const record = { holder: OTHER, incarnation: "i1" };
  run.handle(seen(createObject(5, record)), 0);
  for (let nowMs = 0; nowMs < 9_000; nowMs += 900) {
    const names = nowMs % 1_800 === 0
      ? NAMES.filter((n) => n !== OTHER)
      : NAMES;
    run.handle(members(names), nowMs);
  }
  assert.deepEqual(run.effects, []);
});

test("After a lost answer, the change id in the object shows that the write succeeded", () => {
  const run = createRun();
  run.handle(seen(null), 0);
  const changeId = `d/${SELF}/i1/1`;
  run.handle({ type: "writeFailed", changeId }, 10);
  run.handle({ type: "tick" }, 509);
  assert.equal(run.effects.length, 1, "no retry before the delay");
  run.handle({ type: "tick" }, 510);
  assert.deepEqual(
    run.effects[1],
    run.effects[0],
    "the same change is retried",
  );
  const record = { holder: SELF, incarnation: "i1" };
  const current = { ...createObject(7, record), changeId };
  run.handle({ type: "conflict", current }, 520);
  assert.equal(run.state.fencingNumber, 7);
});

test("A claim that ends in a conflict does not acquire the duty", () => {
  const run = createRun();
  run.handle(seen(null), 0);
  const current = createObject(6, { holder: OTHER, incarnation: "i1" });
  run.handle({ type: "conflict", current }, 1);
  assert.equal(run.state.fencingNumber, undefined);
});

test("A holder that was paused loses the duty when it sees its successor", () => {
  const run = createHolder(7);
  run.handle(seen(createObject(9, { holder: OTHER, incarnation: "i1" })), 1e6);
  assert.deepEqual(run.effects[0], { type: "lost", fencingNumber: 7 });
  run.handle(written(7, `d/${SELF}/i1/1`), 1e6 + 1);
  assert.equal(
    run.state.fencingNumber,
    undefined,
    "an older object is ignored",
  );
});

test("A former process of the same entry does not reclaim the duty", () => {
  const run = createHolder(7);
  const entries = NAMES.map((name) => [name, "i2"] as const);
  run.handle({ type: "membersChanged", members: new Map(entries) }, 10);
  const successor = { holder: SELF, incarnation: "i2" };
  run.handle(seen(createObject(9, successor)), 20);
  run.handle({ type: "tick" }, 1e6);
  assert.deepEqual(run.effects, [{ type: "lost", fencingNumber: 7 }]);
});

test("A deleted duty object is created again", () => {
  const run = createRun();
  run.handle(seen(createObject(5, { holder: SELF, incarnation: "old" })), 0);
  run.handle({ type: "conflict", current: null }, 1);
  run.handle({ type: "tick" }, 500);
  assert.equal(run.effects.length, 1, "no claim right after a conflict");
  run.handle({ type: "tick" }, 501);
  const writes = run.effects.filter((effect) => effect.type === "write");
  assert.deepEqual(writes.map((write) => write.expectedRevision), [
    5,
    undefined,
  ]);
});

function createRun() {
  const run = {
    state: startDuty({
      duty: "d",
      self: { holder: SELF, incarnation: "i1" },
      hash: hashText,
      absentAfterMs: 1_000,
      handOverAfterMs: 10_000,
      retryAfterMs: 500,
    }) as DutyState,
    effects: [] as DutyEffect[],
    handle(event: DutyEvent, nowMs: number) {
      const result = stepDuty(run.state, event, nowMs);
      run.state = result.state;
      run.effects.push(...result.effects);
    },
  };
  run.handle(members(NAMES), 0);
  return run;
}

function createHolder(revision: number) {
  const run = createRun();
  run.handle(seen(null), 0);
  run.handle(written(revision, `d/${SELF}/i1/1`), 1);
  run.effects.length = 0;
  return run;
}

function members(names: readonly string[]): DutyEvent {
  const entries = names.map((name) => [name, "i1"] as const);
  return { type: "membersChanged", members: new Map(entries) };
}

function seen(object: DutyObject | null): DutyEvent {
  return { type: "objectSeen", object };
}

function written(revision: number, changeId: string): DutyEvent {
  const record = { holder: SELF, incarnation: "i1" };
  const object = { ...createObject(revision, record), changeId };
  return { type: "written", object };
}

function createObject(
  revision: number,
  record: DutyObject["record"],
): DutyObject {
  return { uid: "u", revision, changeId: `by ${record.holder}`, record };
}

function prefer(duty: string, members: readonly string[]) {
  return selectPreferred({ duty, members, hash: hashText });
}

/** FNV-1a with a final mix; sufficient for a test. */
function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (const char of text) {
    hash = Math.imul(hash ^ char.charCodeAt(0), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  return (hash ^ (hash >>> 13)) >>> 0;
}
