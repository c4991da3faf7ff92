import { REASONS } from "@dandelionbank/describe-outcome";
import type { LimitCode } from "@dandelionbank/limit-requests";
import type { GiveUpCode } from "@dandelionbank/track-requests";
import assert from "node:assert/strict";
import { test } from "node:test";
import { toCallerCode } from "./caller_code.ts";

/** Every code of the cores; a new one does not compile until it is here. */
const CODES: Readonly<Record<GiveUpCode | LimitCode | "keyInvalid", true>> = {
  keyInvalid: true,
  answerCut: true,
  answerDiffers: true,
  answerNotKept: true,
  arbiterUnsure: true,
  attemptLost: true,
  deadlineExceeded: true,
  homeUnreachable: true,
  invariantViolated: true,
  keyReused: true,
  noTarget: true,
  overloaded: true,
  quarantined: true,
  tableFull: true,
  targetFailed: true,
  ticketExpired: true,
  DANDELIONBANK_CONCURRENCY_LIMITED: true,
  DANDELIONBANK_ORGANISATION_UNKNOWN: true,
  DANDELIONBANK_OVERLOADED: true,
  DANDELIONBANK_RATE_LIMITED: true,
  DANDELIONBANK_TOKENS_LIMITED: true,
};

test("Every code that a core gives has a reason for callers", () => {
  for (const code of Object.keys(CODES)) {
    assert.ok(REASONS[toCallerCode(code)], `${code} has no reason`);
  }
  assert.equal(toCallerCode("keyReused"), "KEY_REUSED");
  assert.equal(toCallerCode("DANDELIONBANK_RATE_LIMITED"), "RATE_LIMITED");
});
