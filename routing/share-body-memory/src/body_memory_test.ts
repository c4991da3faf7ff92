/** Load pattern: callers upload at once, more than fits into memory. */

import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { BodyMemory } from "./mod.ts";

const SMALL_BYTES = 64;
const READ_BYTES = 64;
const TOTAL_BYTES = 4_000;
const MAX_WAIT_MS = 500;
const MAX_STALL_MS = 1_000;
const CHECK_MS = 50;
const OPEN = { maxBytes: 1_000, idleTimeoutMs: 15_000, nowMs: 0 };

function createMemory(): BodyMemory {
  return BodyMemory.create({
    totalBytes: TOTAL_BYTES,
    reserveBytes: 1_000,
    smallBytes: SMALL_BYTES,
    readBytes: READ_BYTES,
    maxWaitMs: MAX_WAIT_MS,
    maxStallMs: MAX_STALL_MS,
  });
}

/** Opens bodies of a known length that claim all of it; returns the results. */
function claimAll(memory: BodyMemory, count: number, firstId = 1) {
  return Array.from({ length: count }, (_, index) => {
    memory.open(firstId + index, OPEN);
    return memory.claim(firstId + index, OPEN.maxBytes, 0);
  });
}

/** Checks at the usual intervals; returns all refusals. */
function expireUntil(memory: BodyMemory, fromMs: number, untilMs: number) {
  const refused = [];
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs += CHECK_MS) {
    refused.push(...memory.expire(nowMs).refused);
  }
  return refused;
}

test("Large bodies beyond the budget wait, and get room in the order of arrival", () => {
  const memory = createMemory();
  assert.deepEqual(claimAll(memory, 5), [
    "granted",
    "granted",
    "granted",
    "waiting",
    "waiting",
  ]);
  memory.release(2, 100);
  assert.deepEqual(memory.grantWaiting(100), [{ id: 4, bytes: 1_000 }]);
  memory.release(4, 200);
  assert.deepEqual(memory.grantWaiting(200), [{ id: 5, bytes: 1_000 }]);
});

test("A body that gets no room in time is refused, and not before", () => {
  const memory = createMemory();
  claimAll(memory, 4);
  assert.deepEqual(expireUntil(memory, 0, MAX_WAIT_MS - CHECK_MS), []);
  assert.deepEqual(memory.expire(MAX_WAIT_MS).refused, [
    { id: 4, reason: "full" },
  ]);
});

test("Small bodies get room beside any number of uploads", () => {
  const memory = createMemory();
  claimAll(memory, 1_000);
  for (let id = 2_001; id <= 2_008; id++) {
    memory.open(id, { ...OPEN, maxBytes: SMALL_BYTES });
    assert.equal(memory.claim(id, SMALL_BYTES, 0), "granted");
  }
  assert.ok(memory.heldBytes <= TOTAL_BYTES);
});

test("A caller that stops in the middle loses its room once another waits", () => {
  const memory = createMemory();
  claimAll(memory, 3);
  assert.deepEqual(expireUntil(memory, 0, 5_000), []);
  memory.recordProgress(1);
  memory.recordProgress(2);
  memory.open(4, { ...OPEN, nowMs: 5_000 });
  assert.equal(memory.claim(4, OPEN.maxBytes, 5_000), "waiting");
  assert.deepEqual(memory.expire(5_000), {
    granted: [{ id: 4, bytes: 1_000 }],
    refused: [{ id: 3, reason: "stalled" }],
  });
});

test("A caller that stops in the middle loses its room after the idle timeout", () => {
  const memory = createMemory();
  memory.open(1, { ...OPEN, idleTimeoutMs: 2_000 });
  memory.claim(1, SMALL_BYTES, 0);
  assert.deepEqual(expireUntil(memory, 0, 1_950), []);
  assert.deepEqual(memory.expire(2_000).refused, [
    { id: 1, reason: "stalled" },
  ]);
  assert.equal(memory.heldBytes, 0);
});

test("A process that stood still doesn't take its callers for stalled", () => {
  const memory = createMemory();
  memory.expire(0);
  claimAll(memory, 4);
  assert.deepEqual(memory.expire(30_000).refused, []);
});

test("A body that is still read at its deadline is refused", () => {
  const memory = createMemory();
  claimAll(memory, 1);
  memory.setDeadline(1, 900);
  memory.recordProgress(1);
  assert.deepEqual(memory.expire(899).refused, []);
  assert.deepEqual(memory.expire(900).refused, [{ id: 1, reason: "late" }]);
});

test("A complete body keeps its room, without a deadline, until it is released", () => {
  const memory = createMemory();
  claimAll(memory, 1);
  memory.setDeadline(1, 900);
  memory.complete(1, 700);
  assert.deepEqual(expireUntil(memory, 0, 60_000), []);
  assert.equal(memory.heldBytes, 700);
  memory.release(1, 60_000);
  assert.equal(memory.heldBytes, 0);
});

// Guards against uploads of unknown length that have all been read in part, and
// wait for each other's room until all of them are refused.
test("Of bodies in chunks that fill the budget, the oldest always grows to its end", () => {
  const memory = createMemory();
  const ids = Array.from({ length: 40 }, (_, index) => index + 1);
  const readTo = new Map<number, number>();
  for (const id of ids) {
    memory.open(id, OPEN);
    if (memory.claim(id, SMALL_BYTES, 0) === "granted") readTo.set(id, 64);
  }
  const completed: number[] = [];
  for (let nowMs = 0; nowMs < 3_000 && readTo.size > 0; nowMs += 10) {
    for (const [id, bytes] of readTo) {
      if (bytes === OPEN.maxBytes) {
        memory.complete(id, bytes);
        memory.release(id, nowMs);
        completed.push(id);
        readTo.delete(id);
        continue;
      }
      const wanted = Math.min(bytes * 2, OPEN.maxBytes);
      memory.recordProgress(id);
      const result = memory.claim(id, wanted, nowMs);
      if (result === "granted") readTo.set(id, wanted);
      if (result === "refused") readTo.delete(id);
    }
    for (const { id, bytes } of memory.grantWaiting(nowMs)) {
      readTo.set(id, bytes);
    }
    const { granted, refused } = memory.expire(nowMs);
    for (const { id, bytes } of granted) readTo.set(id, bytes);
    for (const { id } of refused) readTo.delete(id);
    assert.ok(memory.heldBytes <= TOTAL_BYTES);
  }
  assert.equal(readTo.size, 0, "some neither completed nor were refused");
  assert.ok(completed.includes(1), "the oldest was refused");
  assert.ok(completed.length >= 3, `${completed.length} completed`);
});

test("A refused caller is told to return when those before it have been served", () => {
  const memory = createMemory();
  claimAll(memory, 3);
  for (const id of [1, 2, 3]) {
    memory.complete(id, 1_000);
    memory.release(id, 3_000);
  }
  // Three bodies at once for 3 s each: one more fits in each further second.
  const retriesMs = [1, 2, 3].map(() => memory.assignRetryMs(1_000, 3_000));
  assert.deepEqual(retriesMs, [10, 1_000, 2_000]);
});

test("No sequence of claims and releases exceeds the budget or leaks room", () => {
  const step = fc.record({
    kind: fc.constantFrom("open", "claim", "complete", "release", "check"),
    id: fc.integer({ min: 1, max: 60 }),
    bytes: fc.integer({ min: 1, max: 1_200 }),
    passesMs: fc.integer({ min: 0, max: 120 }),
  });
  fc.assert(fc.property(fc.array(step, { maxLength: 400 }), (steps) => {
    const memory = createMemory();
    const open = new Set<number>();
    let nowMs = 0;
    for (const { kind, id, bytes, passesMs } of steps) {
      nowMs += passesMs;
      if (kind === "open" && !open.has(id)) {
        memory.open(id, { ...OPEN, maxBytes: 1_200, nowMs });
        open.add(id);
      }
      if (kind === "claim") memory.claim(id, bytes, nowMs);
      if (kind === "complete") memory.complete(id, 1);
      if (kind === "release") {
        memory.release(id, nowMs);
        open.delete(id);
      }
      if (kind === "check") {
        for (const { id } of memory.expire(nowMs).refused) open.delete(id);
      }
      assert.ok(memory.heldBytes <= TOTAL_BYTES, `${memory.heldBytes} bytes`);
      assert.ok(memory.heldBytes >= 0);
    }
    for (const id of open) memory.release(id, nowMs);
    assert.equal(memory.heldBytes, 0);
    assert.equal(memory.waitingCount, 0);
  }));
});
