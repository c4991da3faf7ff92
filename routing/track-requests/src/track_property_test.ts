import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { AttemptFrame } from "@dandelionbank/types";
import { createTrackState, readFigures, step } from "./mod.ts";
import type { TrackEffect, TrackEvent } from "./mod.ts";
import { createTextDigest, LOAD } from "./test_fixtures.ts";

const PARTS = ["one ", "two ", "three ", "four"];
const TEXT = PARTS.join("");
const CALLERS = ["c1", "c2", "c3"];
const DEADLINE_MS = 5_000;

const ATTEMPT = fc.integer({ min: 1, max: 4 }).map((number) => `e.${number}`);

const FRAME: fc.Arbitrary<AttemptFrame> = fc.oneof(
  { weight: 3, arbitrary: ATTEMPT.map(toHead) },
  {
    weight: 8,
    arbitrary: fc.tuple(ATTEMPT, fc.integer({ min: 0, max: 3 })).map(toData),
  },
  { weight: 3, arbitrary: ATTEMPT.map(toEnd) },
  ATTEMPT.map((attemptId) =>
    ({ type: "admitted", attemptId, answeredBy: attemptId }) as const
  ),
  fc.tuple(ATTEMPT, fc.boolean()).map(([attemptId, mayHaveRun]) =>
    ({ type: "failed", attemptId, code: "x", mayHaveRun, load: LOAD }) as const
  ),
);

const EVENT: fc.Arbitrary<TrackEvent> = fc.oneof(
  {
    weight: 12,
    arbitrary: FRAME.map((frame) => ({ type: "frameArrived", frame }) as const),
  },
  { weight: 2, arbitrary: fc.constant({ type: "tick" } as const) },
  ATTEMPT.map((attemptId) => ({ type: "connectionLost", attemptId }) as const),
  fc.constantFrom("A", "B").map((target) =>
    ({ type: "agentLost", target, agentIncarnation: target }) as const
  ),
  fc.constantFrom(...CALLERS).map((callerId) =>
    ({ type: "callerDisconnected", callerId }) as const
  ),
);

interface Sequence {
  readonly idempotent: boolean;
  readonly events: readonly { event: TrackEvent; afterMs: number }[];
}

const SEQUENCE: fc.Arbitrary<Sequence> = fc.record({
  idempotent: fc.boolean(),
  events: fc.array(
    fc.record({ event: EVENT, afterMs: fc.constantFrom(0, 0, 5, 300) }),
    { maxLength: 50 },
  ),
});

function toHead(attemptId: string): AttemptFrame {
  return {
    type: "head",
    attemptId,
    status: 200,
    contentType: "t",
    encoding: "utf8",
  };
}

function toData(parts: readonly [string, number]): AttemptFrame {
  const [attemptId, sequence] = parts;
  return { type: "data", attemptId, sequence, data: PARTS[sequence]! };
}

function toEnd(attemptId: string): AttemptFrame {
  const lengthBytes = TEXT.length;
  return { type: "end", attemptId, lengthBytes, digest: TEXT, load: LOAD };
}

/** Drives one keyed request with three callers and checks every effect. */
class Driver {
  readonly #state = createTrackState({
    incarnation: "e",
    progressTimeoutMs: 200,
    hedgeAfterMs: 100,
    maxAttempts: 3,
    retryRatio: 1,
    retryBurst: 3,
    retryAfterMs: 1,
    maxKeys: 5,
    maxKeptBytes: 100,
    createDigest: createTextDigest,
  });
  readonly #texts = new Map<string, string>();
  readonly #ended = new Set<string>();
  readonly #idempotent: boolean;
  readonly #possiblyRun = new Set<string>();
  #nowMs = 0;

  constructor(idempotent: boolean) {
    this.#idempotent = idempotent;
    this.feed({ type: "arbiterLeaseRenewed", untilMs: DEADLINE_MS * 2 });
    for (const callerId of CALLERS) {
      this.feed({
        type: "requestArrived",
        callerId,
        request: {
          requestId: `r${callerId}`,
          organisation: "acme",
          pool: "p",
          fingerprint: "f",
          idempotent,
          resumable: idempotent,
          timeLeftMs: DEADLINE_MS,
          key: { keyId: "k", homeIncarnation: "e" },
        },
      });
    }
  }

  feed(event: TrackEvent, afterMs = 0): void {
    this.#nowMs += afterMs;
    if (event.type === "frameArrived" && event.frame.type === "failed") {
      const { attemptId, mayHaveRun } = event.frame;
      if (!mayHaveRun) this.#possiblyRun.delete(attemptId);
    }
    const { effects } = step(this.#state, event, this.#nowMs);
    for (const effect of effects) this.#handleEffect(effect);
  }

  checkEnd(): void {
    this.feed({ type: "tick" }, DEADLINE_MS);
    assert.equal(readFigures(this.#state).callers, 0);
  }

  #handleEffect(effect: TrackEffect): void {
    switch (effect.type) {
      case "findHome":
        return this.feed({
          type: "homeFound",
          requestId: effect.requestId,
          home: { kind: "here", expiresAtMs: DEADLINE_MS * 2 },
        });
      case "pickTarget": {
        const target = effect.avoid.includes("A") ? "B" : "A";
        const { requestId } = effect;
        const agentIncarnation = target;
        return this.feed({
          type: "targetPicked",
          requestId,
          target,
          agentIncarnation,
        });
      }
      case "dispatch":
        assert.ok(
          this.#idempotent || this.#possiblyRun.size === 0,
          "an attempt that may have run was dispatched again",
        );
        this.#possiblyRun.add(effect.attemptId);
        return;
      case "sendData":
        return this.#handleData(effect.callerId, effect.data);
      case "sendEnd":
        assert.equal(this.#texts.get(effect.callerId) ?? "", TEXT);
        return this.#end(effect.callerId);
      case "sendOutcome":
        if (effect.outcome.kind === "notRun") {
          assert.equal(this.#possiblyRun.size, 0, "notRun without a proof");
        }
        return this.#end(effect.callerId);
      case "violation":
        return assert.fail(`${effect.invariant}: ${effect.detail}`);
    }
  }

  #handleData(callerId: string, data: string): void {
    assert.ok(!this.#ended.has(callerId), "data after the end of the answer");
    const text = (this.#texts.get(callerId) ?? "") + data;
    assert.ok(TEXT.startsWith(text), `${callerId} received "${text}"`);
    this.#texts.set(callerId, text);
  }

  #end(callerId: string): void {
    assert.ok(!this.#ended.has(callerId), `${callerId} was ended twice`);
    this.#ended.add(callerId);
  }
}

test("Each caller gets one complete answer or a true outcome for any frames", () => {
  fc.assert(
    fc.property(SEQUENCE, ({ idempotent, events }) => {
      const driver = new Driver(idempotent);
      for (const { event, afterMs } of events) driver.feed(event, afterMs);
      driver.checkEnd();
    }),
    { seed: 4, numRuns: 400 },
  );
});
