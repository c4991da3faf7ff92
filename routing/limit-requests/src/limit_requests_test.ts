import assert from "node:assert/strict";
import { test } from "node:test";
import type { Contract, LimitShare } from "@dandelionbank/types";
import { createLimitState, limitRequests } from "./mod.ts";
import type { LimitEffect, LimitEvent, LimitState } from "./mod.ts";

type Arrival = Partial<Extract<LimitEvent, { type: "requestArrived" }>>;

function createContract(values: Partial<Contract> = {}): Contract {
  return {
    organisation: "malabar",
    keyDigests: [],
    requestsPerSecond: 10,
    concurrentRequests: 4,
    tokensPerMinute: 60_000,
    shareWeight: 1,
    priority: 5,
    objective: { firstTokenMs: 1, betweenTokensMs: 1, answeredMs: 1 },
    ...values,
  };
}

function createLimiter(contracts: readonly Contract[], entries = ["a"]) {
  const state: LimitState = createLimitState("a");
  const send = (event: LimitEvent, nowMs: number): readonly LimitEffect[] =>
    limitRequests(state, event, nowMs).effects;
  let sent = 0;
  const arrive = (nowMs: number, arrival: Arrival = {}) =>
    send({
      type: "requestArrived",
      requestId: `r${sent++}`,
      organisation: "malabar",
      pool: "review",
      estimatedTokens: 0,
      ...arrival,
    }, nowMs)[0]!;
  const end = (requestId: string, nowMs: number, actualTokens = 0) =>
    send({ type: "requestEnded", requestId, actualTokens }, nowMs);
  send({ type: "entriesChanged", entry: "a", entries }, 0);
  for (const contract of contracts) {
    send({ type: "contractChanged", contract }, 0);
  }
  return { send, arrive, end };
}

function codeOf(effect: LimitEffect): string {
  return effect.type === "refuse" ? effect.code : effect.type;
}

function retryOf(effect: LimitEffect): number {
  assert.equal(effect.type, "refuse");
  return effect.type === "refuse" ? effect.retryAfterMs : 0;
}

const LIMIT_CASES: readonly {
  readonly title: string;
  readonly contract: Partial<Contract>;
  readonly entries?: string[];
  readonly tokens?: number;
  readonly admitted: number;
  readonly code: string;
}[] = [
  {
    title: "rate",
    contract: { concurrentRequests: 100 },
    admitted: 10,
    code: "DANDELIONBANK_RATE_LIMITED",
  },
  {
    title: "concurrency",
    contract: {},
    admitted: 4,
    code: "DANDELIONBANK_CONCURRENCY_LIMITED",
  },
  {
    title: "tokens",
    contract: { concurrentRequests: 100 },
    tokens: 400,
    admitted: 2,
    code: "DANDELIONBANK_TOKENS_LIMITED",
  },
  {
    title: "half of the rate between two entries",
    contract: { concurrentRequests: 100 },
    entries: ["a", "b"],
    admitted: 5,
    code: "DANDELIONBANK_RATE_LIMITED",
  },
  {
    title: "half of the concurrency between two entries",
    contract: {},
    entries: ["a", "b"],
    admitted: 2,
    code: "DANDELIONBANK_CONCURRENCY_LIMITED",
  },
];

for (
  const { title, contract, entries, tokens, admitted, code } of LIMIT_CASES
) {
  test(`The limit of an organisation is enforced: ${title}`, () => {
    const limiter = createLimiter([createContract(contract)], entries);
    const effects = Array.from(
      { length: admitted + 1 },
      () => limiter.arrive(0, { estimatedTokens: tokens ?? 0 }),
    );
    assert.deepEqual(effects.slice(0, -1).map(codeOf), [
      ...Array(admitted).fill("admit"),
    ]);
    assert.equal(codeOf(effects.at(-1)!), code);
  });
}

test("A refused caller is admitted at its retry time", () => {
  const limiter = createLimiter([createContract({ concurrentRequests: 100 })]);
  for (let i = 0; i < 10; i++) limiter.arrive(0);
  const waitsMs = [0, 1, 2].map(() => retryOf(limiter.arrive(0)));
  assert.deepEqual(waitsMs, [100, 200, 300]);
  assert.deepEqual(
    waitsMs.map((waitMs) => codeOf(limiter.arrive(waitMs))),
    ["admit", "admit", "admit"],
  );
});

test("Unused tokens are refunded and excess tokens are charged", () => {
  const contract = createContract({
    concurrentRequests: 100,
    requestsPerSecond: 1_000,
  });
  const limiter = createLimiter([contract]);
  limiter.arrive(0, { requestId: "x", estimatedTokens: 1_000 });
  assert.equal(
    codeOf(limiter.arrive(0, { estimatedTokens: 500 })),
    "DANDELIONBANK_TOKENS_LIMITED",
  );
  limiter.end("x", 0, 200);
  assert.equal(
    codeOf(limiter.arrive(0, { requestId: "y", estimatedTokens: 500 })),
    "admit",
  );
  limiter.end("y", 0, 5_000);
  const waitMs = retryOf(limiter.arrive(0, { estimatedTokens: 100 }));
  assert.equal(waitMs, 4_300);
});

test("A loan expires at its time without a further event", () => {
  const limiter = createLimiter([createContract({ concurrentRequests: 2 })], [
    "a",
    "b",
  ]);
  const loan: LimitShare = {
    requestsPerSecond: 5,
    concurrentRequests: 1,
    tokensPerMinute: 30_000,
  };
  limiter.send({
    type: "holdingChanged",
    organisation: "malabar",
    holding: {
      reserved: { ...loan },
      lent: [],
      borrowed: [{ share: loan, untilMs: 1_000 }],
    },
  }, 0);
  assert.equal(codeOf(limiter.arrive(999)), "admit");
  assert.equal(codeOf(limiter.arrive(999)), "admit");
  limiter.end("r0", 999);
  assert.equal(
    codeOf(limiter.arrive(1_000)),
    "DANDELIONBANK_CONCURRENCY_LIMITED",
  );
});

test("Under overload, organisations within their fair share take precedence", () => {
  const greedy = createContract({
    organisation: "greedy",
    requestsPerSecond: 1_000,
    concurrentRequests: 100,
  });
  const modest = createContract({ requestsPerSecond: 100 });
  const limiter = createLimiter([greedy, modest]);
  limiter.send({
    type: "capacityChanged",
    pool: "review",
    concurrentRequests: 20,
  }, 0);
  limiter.arrive(0);
  const codes = Array.from(
    { length: 20 },
    () => codeOf(limiter.arrive(0, { organisation: "greedy" })),
  );
  assert.equal(codes.filter((code) => code === "admit").length, 14);
  assert.equal(codes.at(-1), "DANDELIONBANK_OVERLOADED");
  assert.equal(codeOf(limiter.arrive(0)), "admit");
});

test("The retry time under overload follows the rate at which requests end", () => {
  const contract = createContract({
    requestsPerSecond: 1_000,
    concurrentRequests: 100,
  });
  const limiter = createLimiter([contract]);
  limiter.send({
    type: "capacityChanged",
    pool: "review",
    concurrentRequests: 4,
  }, 0);
  for (let i = 0; i < 50; i++) {
    const requestId = `w${i}`;
    limiter.arrive(i * 200, { requestId });
    limiter.end(requestId, i * 200 + 200);
  }
  const effects = [0, 1, 2, 3, 4].map(() => limiter.arrive(10_000));
  const waitsMs = effects.filter(({ type }) => type === "refuse").map(retryOf);
  assert.equal(waitsMs.length, 2);
  assert.ok(Math.abs(waitsMs[0]! - 200 / 3) < 4);
  assert.ok(Math.abs(waitsMs[1]! - 400 / 3) < 6);
});

test("Demand includes refused requests, rises immediately and falls slowly", () => {
  const limiter = createLimiter([createContract({ concurrentRequests: 2 })]);
  for (let i = 0; i < 6; i++) limiter.arrive(i, { estimatedTokens: 10 });
  const demandAt = (nowMs: number) => {
    const [effect] = limiter.send({ type: "tick" }, nowMs);
    assert.equal(effect?.type, "demandMeasured");
    return effect?.type === "demandMeasured" ? effect.demand : undefined;
  };
  assert.deepEqual(demandAt(1_000), {
    requestsPerSecond: 6,
    concurrentRequests: 6,
    tokensPerMinute: 3_600,
  });
  assert.equal(demandAt(2_000)?.requestsPerSecond, 4.8);
  assert.equal(demandAt(60_000)?.concurrentRequests, 5);
});

test("Requests in flight stay counted when a contract is removed and restored", () => {
  const contract = createContract({ concurrentRequests: 1 });
  const limiter = createLimiter([contract]);
  limiter.arrive(0, { requestId: "x" });
  limiter.send({ type: "contractRemoved", organisation: "malabar" }, 1);
  assert.equal(
    codeOf(limiter.arrive(2)),
    "DANDELIONBANK_ORGANISATION_UNKNOWN",
  );
  limiter.send({ type: "contractChanged", contract }, 3);
  assert.equal(
    codeOf(limiter.arrive(1_000)),
    "DANDELIONBANK_CONCURRENCY_LIMITED",
  );
  limiter.end("x", 1_001);
  assert.equal(codeOf(limiter.arrive(2_000)), "admit");
});

test("Unknown organisations are refused; duplicate events are violations", () => {
  const limiter = createLimiter([createContract()]);
  assert.equal(
    codeOf(limiter.arrive(0, { organisation: "nobody" })),
    "DANDELIONBANK_ORGANISATION_UNKNOWN",
  );
  limiter.arrive(0, { requestId: "x" });
  assert.equal(
    codeOf(limiter.arrive(0, { requestId: "x" })),
    "invariantViolated",
  );
  limiter.end("x", 1);
  assert.equal(codeOf(limiter.end("x", 1)[0]!), "invariantViolated");
});
