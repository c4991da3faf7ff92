import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { AttemptHead } from "@dandelionbank/types";
import { formatTicket } from "@dandelionbank/read-ticket";
import { createAdmitState, readFigures, step } from "./mod.ts";
import type { AdmitEvent, AdmitOptions } from "./mod.ts";

const OPTIONS: AdmitOptions = {
  incarnation: "agent",
  maxInFlight: 3,
  maxKeys: 3,
  maxKeptBytes: 50,
  keyRetentionMs: 1_000,
  lingerMs: 100,
  retryAfterMs: 10,
};

interface Timed {
  readonly event: AdmitEvent;
  readonly afterMs: number;
}

const NUMBER = fc.integer({ min: 1, max: 12 });
const ENTRY = fc.constantFrom("e1", "e2");
const PARTS = fc.tuple(ENTRY, NUMBER);

const EVENT: fc.Arbitrary<AdmitEvent> = fc.oneof(
  { weight: 6, arbitrary: PARTS.map(toArrival) },
  { weight: 3, arbitrary: PARTS.map(toQuery) },
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant("runEnded" as const),
      attemptId: PARTS.map(toId),
      answerBytes: fc.integer({ min: 0, max: 30 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant("runFailed" as const),
      attemptId: PARTS.map(toId),
      mayHaveRun: fc.boolean(),
    }),
  },
  fc.record({
    type: fc.constant("answerBegan" as const),
    attemptId: PARTS.map(toId),
    pauseMs: fc.constantFrom(0, 0, 15, 200),
  }),
  fc.constantFrom<AdmitEvent>(
    { type: "tick" },
    { type: "stopBegan", reason: "plannedStop" },
    { type: "stopWithdrawn", reason: "plannedStop" },
    { type: "keysRequested", askId: "q", incarnations: ["e2"] },
  ),
);

const EVENTS: fc.Arbitrary<readonly Timed[]> = fc.array(
  fc.record({ event: EVENT, afterMs: fc.constantFrom(0, 0, 0, 10, 120, 900) }),
  { maxLength: 60 },
);

function toId(parts: readonly [string, number]): string {
  return `${parts[0]}.${parts[1]}`;
}

/** Returns the attempt's key, shared by several; keys 0, 2, 4 are idempotent. */
function keyOf(number: number): number | undefined {
  return number % 4 === 0 ? undefined : number % 5;
}

function toKey(key: number): string {
  const ticket = {
    incarnation: "e1",
    revision: 1,
    issuedAtMs: key,
    expiresAtMs: 99,
  };
  return `${formatTicket(ticket, "s")}/${key}`;
}

function toArrival(parts: readonly [string, number]): AdmitEvent {
  const [entry, number] = parts;
  const key = keyOf(number);
  const head: AttemptHead = {
    attemptId: toId([entry, number]),
    requestId: "r",
    organisation: "acme",
    ...(key === undefined ? {} : { key: toKey(key) }),
    fingerprint: "00112233445566",
    entry,
    entryIncarnation: entry,
    idempotent: key === undefined ? number % 2 === 0 : key % 2 === 0,
    method: "POST",
    path: "/",
    contentType: "t",
    priority: 0,
    timeLeftMs: 500,
    viewRevision: 1,
  };
  const agentIncarnation = OPTIONS.incarnation;
  const keyId = key === undefined ? {} : { keyId: toKey(key) };
  return { type: "attemptArrived", head, agentIncarnation, ...keyId };
}

function toQuery(parts: readonly [string, number]): AdmitEvent {
  const [entry, number] = parts;
  const key = keyOf(number);
  return {
    type: "attemptQueried",
    attemptId: toId([entry, number]),
    fingerprint: "00112233445566",
    agentIncarnation: OPTIONS.incarnation,
    ...(key === undefined ? {} : { keyId: toKey(key) }),
  };
}

/** Record of a sequence from which nothing is evicted. */
interface Model {
  readonly runs: Set<string>;
  /** Runs that the target reported as never begun. */
  readonly unbegun: Set<string>;
  /** Non-idempotent keys that ran or may have run, with their attempts. */
  readonly onceKeys: Map<string, string>;
}

function checkSequence(events: readonly Timed[]): void {
  const state = createAdmitState(OPTIONS);
  step(state, { type: "closingsRead", incarnations: [] }, 0);
  const model: Model = {
    runs: new Set(),
    unbegun: new Set(),
    onceKeys: new Map(),
  };
  let nowMs = 0;
  let pauseEndsAtMs = 0;
  for (const { event, afterMs } of events) {
    nowMs += afterMs;
    const ran = event.type === "runFailed" && !event.mayHaveRun
      ? readFigures(state).running
      : 0;
    for (const effect of step(state, event, nowMs).effects) {
      assert.notEqual(effect.type, "violation", JSON.stringify(effect));
      if (effect.type === "run") {
        addRun(model, event);
        assert.ok(
          nowMs >= pauseEndsAtMs,
          "ran while the target wanted no calls",
        );
      }
      if (effect.type === "refuse") {
        const began = model.runs.has(effect.attemptId) &&
          !model.unbegun.has(effect.attemptId);
        assert.ok(!began, `${effect.attemptId} was refused after it ran`);
      }
    }
    if (event.type === "answerBegan" && event.pauseMs !== undefined) {
      pauseEndsAtMs = Math.max(pauseEndsAtMs, nowMs + event.pauseMs);
    }
    const { running, keptBytes } = readFigures(state);
    if (event.type === "runFailed" && running < ran) {
      freeKey(model, event.attemptId);
    }
    assert.ok(running <= OPTIONS.maxInFlight);
    assert.ok(keptBytes <= OPTIONS.maxKeptBytes);
  }
}

function addRun(model: Model, event: AdmitEvent): void {
  assert.equal(event.type, "attemptArrived");
  if (event.type !== "attemptArrived") return;
  const { attemptId, key, idempotent } = event.head;
  assert.ok(!model.runs.has(attemptId), `${attemptId} ran twice`);
  model.runs.add(attemptId);
  if (key === undefined || idempotent) return;
  assert.ok(!model.onceKeys.has(key), `${key} ran twice`);
  model.onceKeys.set(key, attemptId);
}

/** Frees the attempt's key after the target reported that the call never ran. */
function freeKey(model: Model, attemptId: string): void {
  model.unbegun.add(attemptId);
  for (const [key, ranBy] of model.onceKeys) {
    if (ranBy === attemptId) model.onceKeys.delete(key);
  }
}

test("Runs no attempt or key twice, none in a pause, and refuses none that ran, for any events", () => {
  const withinRetention = EVENTS.filter((events) =>
    events.reduce((sum, { afterMs }) => sum + afterMs, 0) <
      OPTIONS.keyRetentionMs
  );
  fc.assert(fc.property(withinRetention, checkSequence), {
    seed: 3,
    numRuns: 400,
  });
});
