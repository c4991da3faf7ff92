import type { Outcome } from "@dandelionbank/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { describeOutcome, REASONS, toCallerCode } from "./mod.ts";

const PROOF = { kind: "neverDispatched" } as const;

test("Maps outcomes to a status, a code and a retry delay", () => {
  const table: readonly (readonly [
    Exclude<Outcome, { kind: "answered" }>,
    number,
    number | undefined,
  ])[] = [
    [
      {
        kind: "notRun",
        proof: PROOF,
        code: "DANDELIONBANK_RATE_LIMITED",
        retryAfterMs: 1,
      },
      429,
      1,
    ],
    [
      {
        kind: "notRun",
        proof: PROOF,
        code: "somethingElse",
        retryAfterMs: 2001,
      },
      503,
      3,
    ],
    [
      {
        kind: "notRun",
        proof: PROOF,
        code: "bodyInvalid",
        retryAfterMs: 1000,
      },
      400,
      undefined,
    ],
    [{ kind: "unknown", code: "attemptLost" }, 502, undefined],
    [{ kind: "failed", code: "quarantined" }, 422, undefined],
    [{ kind: "failed", code: "somethingElse", retryAfterMs: 1000 }, 502, 1],
  ];
  for (const [outcome, status, seconds] of table) {
    const described = describeOutcome(outcome, "r1");
    assert.equal(described.status, status);
    assert.equal(described.retryAfterSeconds, seconds);
    assert.equal(described.body.error.outcome, outcome.kind);
    assert.equal(described.body.error.code, toCallerCode(outcome.code));
    assert.match(described.body.error.code, /^DANDELIONBANK_[A-Z_]+$/);
    assert.equal(described.body.error.requestId, "r1");
  }
});

test("Every reason has an error status, a message and a hint", () => {
  for (const [code, reason] of Object.entries(REASONS)) {
    assert.match(code, /^[a-zA-Z]+$/);
    assert.ok(reason.status >= 400 && reason.status <= 599, code);
    assert.doesNotMatch(reason.message, /\.$/);
    assert.notEqual(reason.hint, "");
  }
});
