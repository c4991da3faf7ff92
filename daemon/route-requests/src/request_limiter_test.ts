import type {
  Contract,
  EntryRegistration,
  StoredObject,
  View,
} from "@dandelionbank/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestLimiter } from "./request_limiter.ts";
import type { RequestResult } from "./request_metrics.ts";
import type { OpenRequest } from "./request_table.ts";

/**
 * Only a request that has not run gets its tokens back. The contract has tokens
 * for one request, so the next one shows whether they were refunded.
 */
const CASES: readonly (readonly [RequestResult, string | undefined])[] = [
  ["answered", "tokensLimited"],
  ["failed", "tokensLimited"],
  ["unknown", "tokensLimited"],
  ["abandoned", "tokensLimited"],
  ["notRun", undefined],
];

for (const [outcome, code] of CASES) {
  test(`After a request that ended ${outcome}, the next one is ${code ?? "admitted"}`, () => {
    const limiter = createLimiter();
    const first = createOpenRequest("first");
    assert.equal(limiter.admit(first), undefined);
    limiter.recordEnd(first, outcome);
    assert.equal(limiter.admit(createOpenRequest("second"))?.code, code);
  });
}

/** Creates a limiter whose contract has tokens for one request's estimate. */
function createLimiter(): RequestLimiter {
  const limiter = RequestLimiter.create({
    entry: "e1",
    readNowMs: () => 0,
    onViolation: ({ invariant }) => assert.fail(invariant),
  });
  limiter.applyView(undefined, createView());
  return limiter;
}

function createOpenRequest(requestId: string): OpenRequest {
  return {
    requestId,
    organisation: "acme",
    pool: "review",
    fingerprint: "f",
    idempotent: true,
    resumable: true,
    promptPrefix: "",
    estimatedTokens: 100,
    method: "POST",
    path: "/v1/completions",
    contentType: "application/json",
    priority: 5,
    viewRevision: 1,
    ticket: undefined,
    keyText: undefined,
    body: Buffer.alloc(0),
    arrivedMs: 0,
    isAdmitted: false,
  };
}

function createEntry(): StoredObject<EntryRegistration> {
  const value: EntryRegistration = {
    name: "e1",
    incarnation: "i1",
    callerUrl: "http://127.0.0.1:1",
    peerUrl: "http://127.0.0.1:2",
    dataCentre: "kochi-1",
  };
  const ids = { uid: "e", revision: 1, changeId: "c" };
  return { kind: "entry", name: "e1", ...ids, value };
}

function createView(): View {
  const contract: Contract = {
    organisation: "acme",
    keyDigests: [],
    requestsPerSecond: 1_000,
    concurrentRequests: 1_000,
    tokensPerMinute: 6_000,
    shareWeight: 1,
    priority: 5,
    objective: { firstTokenMs: 1, betweenTokensMs: 1, answeredMs: 1 },
  };
  const stored: StoredObject<Contract> = {
    kind: "contract",
    name: "acme",
    uid: "u",
    revision: 1,
    changeId: "c",
    value: contract,
  };
  return {
    revision: 1,
    config: undefined,
    contracts: new Map([["acme", stored]]),
    operators: new Map(),
    invalidOperators: new Set(),
    stops: new Map(),
    agents: new Map(),
    entries: new Map([["e1", createEntry()]]),
    closings: new Map(),
  };
}
