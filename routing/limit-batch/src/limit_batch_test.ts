import {
  type AdmissionEffect,
  createAdmission,
  stepAdmission,
} from "@dandelionbank/admit-streams";
import type { EngineProfile } from "@dandelionbank/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createBatchLimit, noteGap, readBatchShare } from "./mod.ts";

const PROFILE: EngineProfile = {
  maxBatch: 8,
  stepMs: 4.5,
  stepPerRequestMs: 1.1,
  prefillTokensPerS: 60_000,
  stepsPerPass: 5,
  meanPromptTokens: 800,
  meanAnswerTokens: 100,
  experts: undefined,
};
const OBJECTIVE_MS = 120;

test("Passes that fit into the pause leave all places open", () => {
  const limit = createBatchLimit(PROFILE);
  assert.equal(readBatchShare(limit, OBJECTIVE_MS), 1);
  feed(limit, { gapMs: 70, batch: 8 });
  assert.equal(readBatchShare(limit, OBJECTIVE_MS), 1);
});

test("Passes that are too long close places, but never near half of them", () => {
  const limit = createBatchLimit(PROFILE);
  feed(limit, { gapMs: 130, batch: 8 });
  const share = readBatchShare(limit, OBJECTIVE_MS);
  assert.ok(share < 0.85 && share > 0.6, String(share));
  feed(limit, { gapMs: 340, batch: 8 });
  assert.equal(readBatchShare(limit, OBJECTIVE_MS), 0.6);
});

test("A stall says nothing about load", () => {
  const limit = createBatchLimit(PROFILE);
  feed(limit, { gapMs: 70, batch: 8 });
  feed(limit, { gapMs: 1_500, batch: 8 });
  assert.equal(readBatchShare(limit, OBJECTIVE_MS), 1);
});

test("A slowness that is over is forgotten within some seconds", () => {
  const limit = createBatchLimit(PROFILE);
  feed(limit, { gapMs: 200, batch: 8 });
  feed(limit, { gapMs: 60, batch: 5, forMs: 20_000 });
  assert.equal(readBatchShare(limit, OBJECTIVE_MS), 1);
});

test("Above its load, a group of uneven experts keeps more streams on time", () => {
  const seeds = [1, 2, 3, 4];
  const full = seeds.map((seed) => runGroup({ isLimited: false, seed }));
  const limited = seeds.map((seed) => runGroup({ isLimited: true, seed }));
  const sum = (values: readonly number[]) =>
    values.reduce((total, value) => total + value, 0);
  const [before, after] = [sum(full), sum(limited)];
  assert.ok(after > 1.3 * before, `${before} on time, ${after} with a limit`);
});

function feed(
  limit: ReturnType<typeof createBatchLimit>,
  { gapMs, batch, forMs = 3_000 }: {
    readonly gapMs: number;
    readonly batch: number;
    readonly forMs?: number;
  },
): void {
  const fromMs = limit.windowSinceMs ?? 0;
  for (let nowMs = fromMs; nowMs <= fromMs + forMs; nowMs += 50) {
    noteGap(limit, { gapMs, objectiveMs: OBJECTIVE_MS, batch, nowMs });
  }
}

interface Running {
  readonly arrivedAtMs: number;
  left: number;
  lastAtMs: number | undefined;
  isLate: boolean;
}

const RANKS = 4;
const EVENTS = 20;
const FIRST_OBJECTIVE_MS = 500;
const JUMP_MS = 2_300;
const EVEN_AFTER_MS = 1_100;

/**
 * Replays 20 s of arrivals above what the group can run, in virtual time.
 * Demand for experts jumps, and the map follows after a while. Returns how many
 * streams were on time.
 */
function runGroup(
  { isLimited, seed }: { readonly isLimited: boolean; readonly seed: number },
): number {
  const random = createRandom(seed);
  const limit = createBatchLimit(PROFILE);
  const admission = createAdmission({
    expectedRunMs: 1_500,
    expectedFirstMs: 100,
  });
  const arrived = new Map<string, number>();
  const running = new Map<string, Running>();
  let onTime = 0;
  let nextArrivalMs = 0;
  let count = 0;
  const take = (effects: readonly AdmissionEffect[]) => {
    for (const { type, id } of effects) {
      const arrivedAtMs = arrived.get(id)!;
      arrived.delete(id);
      if (type !== "admitted") continue;
      const left = EVENTS;
      running.set(id, {
        arrivedAtMs,
        left,
        lastAtMs: undefined,
        isLate: false,
      });
    }
  };
  for (let nowMs = 0; nowMs < 20_000;) {
    const batch = running.size / RANKS;
    const skew = nowMs % JUMP_MS < EVEN_AFTER_MS ? 2.3 : 1.2;
    const passMs = skew * PROFILE.stepsPerPass *
      (PROFILE.stepMs + PROFILE.stepPerRequestMs * batch);
    nowMs += passMs;
    for (const [id, stream] of [...running]) {
      const { arrivedAtMs, lastAtMs } = stream;
      const gapMs = lastAtMs === undefined ? undefined : nowMs - lastAtMs;
      stream.isLate ||= gapMs === undefined
        ? nowMs - arrivedAtMs > FIRST_OBJECTIVE_MS
        : gapMs > OBJECTIVE_MS;
      if (gapMs !== undefined) {
        noteGap(limit, { gapMs, objectiveMs: OBJECTIVE_MS, batch, nowMs });
      }
      stream.lastAtMs = nowMs;
      stream.left -= 1;
      if (stream.left > 0) continue;
      running.delete(id);
      if (!stream.isLate) onTime += 1;
      take(stepAdmission(admission, { type: "ended" }, nowMs).effects);
    }
    const share = isLimited ? readBatchShare(limit, OBJECTIVE_MS) : 1;
    take(
      stepAdmission(admission, {
        type: "groupChanged",
        capacity: Math.floor(RANKS * PROFILE.maxBatch * share),
        activeOfOthers: 0,
        entryCount: 1,
      }, nowMs).effects,
    );
    while (nextArrivalMs < nowMs) {
      count += 1;
      const id = String(count);
      arrived.set(id, nextArrivalMs);
      take(
        stepAdmission(admission, {
          type: "arrived",
          id,
          arrivedAtMs: nextArrivalMs,
          objectiveMs: FIRST_OBJECTIVE_MS,
          patienceMs: 2_000,
          priority: 1,
        }, nowMs).effects,
      );
      nextArrivalMs += -Math.log(1 - random()) * 50;
    }
  }
  return onTime;
}

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}
