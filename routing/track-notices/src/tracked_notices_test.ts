import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { TargetNotices } from "@dandelionbank/types";
import { TrackedNotices } from "./mod.ts";

/** Time after the last notice has ended within which a target gets work again. */
const MAX_RETURN_MS = 300;
const STEP_MS = 25;

test("A target that leaves gets nothing until its registration ends", () => {
  const notices = createNotices("a");
  const [change] = record(notices, { isLeaving: true }, 0);
  assert.deepEqual(change, { kind: "leaving", target: "t", isOwn: true });
  assert.equal(notices.readDelayMs("t", 60_000), Infinity);
  assert.deepEqual(record(notices, {}, 60_000), []);
  assert.equal(countSlots(notices, 60_000), 0);
  notices.retainTargets(new Set(["u"]));
  assert.equal(notices.readDelayMs("t", 60_000), 0);
});

test("Entries tell each other which targets leave, and pass on no report", () => {
  const [a, b] = [createNotices("a"), createNotices("b")];
  record(a, { isLeaving: true }, 0);
  assert.equal(b.applyReports(a.listReports(100), 100).length, 1);
  assert.ok(b.isLeaving("t"));
  assert.deepEqual(b.listReports(100).leaving, []);
  assert.deepEqual(a.listReports(10_000).leaving, []);
});

test("After its time a target gets one trial request, and the others once it is answered", () => {
  const notices = createNotices("a");
  record(notices, { notBefore: { forMs: 1_000, value: "1" } }, 0);
  assert.equal(countSlots(notices, 999), 0);
  const counts = { leaving: 0, notBefore: 1, limit: 0 };
  assert.deepEqual(notices.countByKind(999), counts);
  const returnMs = 1_000 + MAX_RETURN_MS;
  assert.equal(notices.readDelayMs("t", returnMs), 0);
  assert.equal(countSlots(notices, returnMs), 1);
  notices.recordSend("t", returnMs);
  assert.ok(notices.readDelayMs("t", returnMs + 10) > 0);
  record(notices, {}, returnMs + 20, returnMs);
  assert.equal(notices.readDelayMs("t", returnMs + 20), 0);
  assert.equal(countSlots(notices, returnMs + 20), 8);
});

test("A trial request that is not answered is followed by another one", () => {
  const notices = createNotices("a");
  record(notices, { notBefore: { forMs: 1_000, value: "1" } }, 0);
  notices.recordSend("t", 1_300);
  assert.ok(notices.readDelayMs("t", 2_200) > 0);
  assert.equal(notices.readDelayMs("t", 2_300), 0);
});

test("Entries send their trial requests at different times", () => {
  const delaysMs = Array.from({ length: 20 }, (_, index) => {
    const notices = createNotices(`entry-${index}`);
    record(notices, { notBefore: { forMs: 1_000, value: "1" } }, 0);
    return Math.round(notices.readDelayMs("t", 0));
  });
  assert.ok(new Set(delaysMs).size > 10);
});

test("A limited target counts the slots that its limit keeps busy", () => {
  const notices = createNotices("a");
  record(notices, { limitPerS: 4 }, 0);
  assert.equal(countSlots(notices, 0), 2);
});

for (const forMs of [undefined, 1e12]) {
  test(`A time of ${forMs} ms is reported as rejected`, () => {
    const notices = createNotices("a");
    const changes = record(notices, { notBefore: { forMs, value: "x" } }, 0);
    assert.ok(changes.some(({ kind }) => kind === "rejected"));
    assert.ok(notices.readDelayMs("t", 0) <= 600_000 + MAX_RETURN_MS);
  });
}

test("No order of answers and reports lets a request through against a notice, and work returns", () => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          afterMs: fc.integer({ min: 0, max: 800 }),
          sentAgoMs: fc.integer({ min: 0, max: 3_000 }),
          forMs: fc.option(fc.integer({ min: 1, max: 2_500 })),
        }),
        { minLength: 1, maxLength: 12 },
      ),
      (answers) => {
        const notices = createNotices("a");
        let nowMs = 0;
        let blockedUntilMs = 0;
        for (const { afterMs, sentAgoMs, forMs } of answers) {
          for (const endMs = nowMs + afterMs; nowMs < endMs; nowMs += STEP_MS) {
            sendIfAllowed(notices, { nowMs, blockedUntilMs });
          }
          const notBefore = forMs === null
            ? undefined
            : { forMs, value: String(forMs) };
          record(notices, { notBefore }, nowMs, nowMs - sentAgoMs);
          blockedUntilMs = Math.max(blockedUntilMs, nowMs + (forMs ?? 0));
        }
        // An unanswered trial request delays the next one by up to a second.
        const returnMs = Math.max(blockedUntilMs, nowMs + 1_000) +
          MAX_RETURN_MS;
        assert.equal(notices.readDelayMs("t", returnMs), 0);
      },
    ),
  );
});

function sendIfAllowed(
  notices: TrackedNotices,
  { nowMs, blockedUntilMs }: {
    readonly nowMs: number;
    readonly blockedUntilMs: number;
  },
): void {
  if (notices.readDelayMs("t", nowMs) > 0) return;
  assert.ok(nowMs >= blockedUntilMs, `sent at ${nowMs} ms`);
  notices.recordSend("t", nowMs);
}

function createNotices(entry: string): TrackedNotices {
  return TrackedNotices.create({ entry, hash: hashText });
}

function record(
  notices: TrackedNotices,
  fields: Partial<TargetNotices>,
  nowMs: number,
  sentAtMs = nowMs,
) {
  const announced = {
    isLeaving: false,
    limitPerS: undefined,
    notBefore: undefined,
    ...fields,
  };
  const answer = { target: "t", notices: announced, sentAtMs };
  return notices.recordAnswer(answer, nowMs);
}

function countSlots(notices: TrackedNotices, nowMs: number): number {
  return notices.countUsableSlots(
    { target: "t", slots: 8, runMs: 500 },
    nowMs,
  );
}

/** FNV-1a. */
function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (const character of text) {
    hash = Math.imul(hash ^ character.charCodeAt(0), 0x01000193);
  }
  return hash >>> 0;
}
