import assert from "node:assert/strict";
import { test } from "node:test";
import type { TargetLoad } from "@dandelionbank/types";
import { createPlacementState, stepPlacement } from "./mod.ts";
import type {
  PlacementEffect,
  PlacementEvent,
  PlacementTarget,
  SendLimits,
  TargetPlacementState,
} from "./mod.ts";

interface PlacementFixture {
  readonly entry?: string;
  readonly policy?: string;
  readonly subsetSize?: number;
  readonly targets?: readonly PlacementTarget[];
  readonly limits?: SendLimits;
}

function hash(text: string): number {
  let value = 2166136261;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), 16777619);
  }
  return value >>> 0;
}

function createRandom(seed = 7) {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

function createTargets(
  count: number,
  state: TargetPlacementState = "open",
): PlacementTarget[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `t${index}`,
    pool: "p",
    state,
  }));
}

function createLoad(inFlight: number): TargetLoad {
  return { inFlight, queued: 0, cachedTokens: 0 };
}

function createPlacement(
  { targets = createTargets(4), entry = "a", ...options }: PlacementFixture =
    {},
) {
  const state = createPlacementState({
    entry,
    random: createRandom(),
    hash,
    ...options,
  });
  const send = (event: PlacementEvent, nowMs = 0) =>
    stepPlacement(state, event, nowMs).effects;
  let picks = 0;
  const pick = (
    nowMs = 0,
    { exclude = [], ...rest }: {
      readonly exclude?: readonly string[];
      readonly prefixHash?: number;
      readonly attemptId?: string;
    } = {},
  ) =>
    send({
      type: "pickRequested",
      attemptId: `x${picks++}`,
      pool: "p",
      exclude,
      ...rest,
    }, nowMs)[0]!;
  send({ type: "targetsChanged", targets });
  return { send, pick };
}

function targetOf(effect: PlacementEffect): string {
  return effect.type === "picked" ? effect.target : effect.type;
}

for (const policy of ["random", "roundRobin", "leastRequests", "powerOfTwo"]) {
  test(`Policy ${policy} uses every target of the pool and no others`, () => {
    const { pick } = createPlacement({ policy });
    const used = new Set(Array.from({ length: 60 }, () => targetOf(pick())));
    assert.deepEqual([...used].sort(), ["t0", "t1", "t2", "t3"]);
  });
}

for (const policy of ["leastRequests", "powerOfTwo"]) {
  test(`Policy ${policy} avoids a target that other entries keep busy`, () => {
    const { send, pick } = createPlacement({ policy });
    send({ type: "loadReported", target: "t0", load: createLoad(100) });
    for (const name of ["t1", "t2", "t3"]) {
      send({ type: "loadReported", target: name, load: createLoad(0) });
    }
    const used = Array.from({ length: 20 }, () => targetOf(pick()));
    assert.ok(!used.includes("t0"));
  });
}

test("An outdated load report no longer excludes a target", () => {
  const { send, pick } = createPlacement({ policy: "leastRequests" });
  send({ type: "loadReported", target: "t0", load: createLoad(8) });
  for (const name of ["t1", "t2", "t3"]) {
    send({ type: "loadReported", target: name, load: createLoad(0) });
  }
  const used = Array.from({ length: 8 }, () => targetOf(pick(20_000)));
  assert.ok(used.includes("t0"));
});

const NEVER_PICKED: readonly {
  readonly title: string;
  readonly prepare: (fixture: ReturnType<typeof createPlacement>) => void;
  readonly exclude?: readonly string[];
}[] = [
  { title: "excluded", prepare: () => {}, exclude: ["t0"] },
  {
    title: "closed",
    prepare: ({ send }) =>
      send({
        type: "targetsChanged",
        targets: createTargets(4).map((target) =>
          target.name === "t0" ? { ...target, state: "closed" } : target
        ),
      }),
  },
  {
    title: "suspected",
    prepare: ({ send }) =>
      send({
        type: "targetsChanged",
        targets: createTargets(4).map((target) =>
          target.name === "t0" ? { ...target, state: "suspected" } : target
        ),
      }),
  },
  {
    title: "refusing",
    prepare: ({ send, pick }) => {
      pick(0, { attemptId: "r", exclude: ["t1", "t2", "t3"] });
      send({ type: "targetReplied", attemptId: "r", refusedForMs: 500 });
    },
  },
  {
    title: "lost",
    prepare: ({ send, pick }) => {
      pick(0, { attemptId: "l", exclude: ["t1", "t2", "t3"] });
      send({ type: "targetLost", attemptId: "l" });
    },
  },
];

for (const { title, prepare, exclude = [] } of NEVER_PICKED) {
  test(`A target is not picked while it is ${title}`, () => {
    const fixture = createPlacement();
    prepare(fixture);
    for (let i = 0; i < 40; i++) {
      const effect = fixture.pick(100, { exclude, prefixHash: i * 7919 });
      assert.notEqual(targetOf(effect), "t0");
      assert.equal(effect.type, "picked");
    }
  });
}

test("A suspected target is picked if there is no other", () => {
  const { pick } = createPlacement({ targets: createTargets(1, "suspected") });
  assert.equal(targetOf(pick()), "t0");
});

test("A refusal carries the time until a target stops refusing", () => {
  const { send, pick } = createPlacement({ targets: createTargets(2) });
  for (const [index, refusedForMs] of [700, 300].entries()) {
    pick(0, { attemptId: `b${index}`, exclude: [`t${1 - index}`] });
    send({ type: "targetReplied", attemptId: `b${index}`, refusedForMs });
  }
  assert.deepEqual(pick(100, { attemptId: "y" }), {
    type: "refused",
    attemptId: "y",
    code: "DANDELIONBANK_POOL_BUSY",
    retryAfterMs: 200,
  });
  assert.equal(targetOf(pick(300)), "t1");
});

test("An empty pool refuses immediately", () => {
  const { pick } = createPlacement({ targets: [] });
  assert.deepEqual(pick(0, { attemptId: "y" }), {
    type: "refused",
    attemptId: "y",
    code: "DANDELIONBANK_POOL_EMPTY",
    retryAfterMs: 1_000,
  });
});

test("A prefix stays at its target while that is not far above the mean load", () => {
  const { send, pick } = createPlacement({ targets: createTargets(16) });
  const preferred = targetOf(pick(0, { prefixHash: 99 }));
  assert.equal(targetOf(pick(0, { prefixHash: 99 })), preferred);
  send({ type: "loadReported", target: preferred, load: createLoad(50) });
  assert.notEqual(targetOf(pick(0, { prefixHash: 99 })), preferred);
});

test("The entries' subsets are bounded, differ and together cover the pool", () => {
  const covered = new Set<string>();
  const subsets = [..."abcdefghijkl"].map((entry) => {
    const { pick } = createPlacement({
      entry,
      subsetSize: 16,
      targets: createTargets(32),
    });
    const used = new Set(Array.from({ length: 400 }, () => targetOf(pick())));
    for (const name of used) covered.add(name);
    return used;
  });
  assert.ok(subsets.every((used) => used.size === 16));
  assert.notDeepEqual([...subsets[0]!].sort(), [...subsets[1]!].sort());
  assert.equal(covered.size, 32);
});

test("Attempts in flight stay counted when the target list changes", () => {
  const { send, pick } = createPlacement({
    policy: "leastRequests",
    targets: createTargets(2),
  });
  const first = targetOf(pick());
  send({ type: "targetsChanged", targets: createTargets(2) });
  assert.notEqual(targetOf(pick()), first);
});

test("Attempts in flight stay counted while a target is missing from the list", () => {
  const { send, pick } = createPlacement({
    policy: "leastRequests",
    targets: createTargets(2),
  });
  for (let i = 0; i < 4; i++) pick(0, { exclude: ["t1"] });
  send({ type: "targetsChanged", targets: [] });
  send({ type: "targetsChanged", targets: createTargets(2) });
  const used = Array.from({ length: 4 }, () => targetOf(pick()));
  assert.deepEqual(used, ["t1", "t1", "t1", "t1"]);
});

for (const inFlight of [-1_000, NaN, Infinity]) {
  test(`A load report of ${inFlight} in flight is ignored`, () => {
    const { send, pick } = createPlacement({ policy: "leastRequests" });
    for (const name of ["t0", "t1", "t2"]) {
      send({ type: "loadReported", target: name, load: createLoad(1) });
    }
    send({ type: "loadReported", target: "t3", load: createLoad(3) });
    send({ type: "loadReported", target: "t3", load: createLoad(inFlight) });
    const used = Array.from({ length: 3 }, () => targetOf(pick()));
    assert.deepEqual(used.sort(), ["t0", "t1", "t2"]);
  });
}

test("An attempt that ends twice is reported as a violation and not counted", () => {
  const { send, pick } = createPlacement();
  pick(0, { attemptId: "x" });
  assert.deepEqual(send({ type: "targetReplied", attemptId: "x" }), []);
  assert.equal(
    send({ type: "targetLost", attemptId: "x" })[0]?.type,
    "invariantViolated",
  );
});

test("A target at its limit is not picked, and sends to it are counted", () => {
  const sent: string[] = [];
  const limits = createLimits({
    delayMs: (target) => target === "t0" ? 400 : 0,
    recordSend: (target) => sent.push(target),
  });
  const { pick } = createPlacement({ targets: createTargets(2), limits });
  for (let index = 0; index < 5; index++) {
    assert.equal(targetOf(pick()), "t1");
  }
  assert.equal(sent.length, 5);
});

test("Callers that find all targets at their limits are told to return one after another", () => {
  const limits = createLimits({ delayMs: () => 400 });
  const { pick } = createPlacement({ targets: createTargets(2), limits });
  const retryTimes = [1, 2, 3].map(() => {
    const effect = pick();
    assert.ok(effect.type === "refused");
    assert.equal(effect.code, "DANDELIONBANK_POOL_BUSY");
    return effect.retryAfterMs;
  });
  assert.deepEqual(retryTimes, [400, 900, 1_400]);
});

test("Where no limited target ever takes requests, the time to retry is finite", () => {
  const limits = createLimits({ delayMs: () => Infinity, sharePerMs: 0 });
  const { pick } = createPlacement({ limits });
  const effect = pick();
  assert.ok(effect.type === "refused");
  assert.equal(effect.retryAfterMs, 1_000);
});

function createLimits(
  { delayMs, recordSend = () => {}, sharePerMs = 0.001 }: {
    readonly delayMs: (target: string) => number;
    readonly recordSend?: (target: string) => void;
    readonly sharePerMs?: number;
  },
): SendLimits {
  return {
    isLeaving: (target) => delayMs(target) === Infinity,
    readDelayMs: delayMs,
    readSharePerMs: () => sharePerMs,
    recordSend,
  };
}
