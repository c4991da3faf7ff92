import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  type AttemptOutcome,
  decideNextAction,
  isRepeatable,
  type RequestProgress,
} from "./mod.ts";

interface Case {
  readonly name: string;
  readonly progress?: Partial<RequestProgress>;
  readonly outcome: AttemptOutcome;
  readonly expected: string;
}

const CASES: readonly Case[] = [
  {
    name: "no connection was made: another target, whatever the kind",
    progress: { kind: "nonIdempotent", maxTargets: 1 },
    outcome: "notSent",
    expected: "retry",
  },
  {
    name: "a target refused a call that may not be repeated",
    progress: { kind: "nonIdempotent" },
    outcome: "refused",
    expected: "retry",
  },
  {
    name: "the last target refused",
    progress: { kind: "nonIdempotent", maxTargets: 1 },
    outcome: "refused",
    expected: "refuse",
  },
  {
    name: "the last target refused after one that may have run",
    progress: { mayHaveRun: true, targetsSent: 2 },
    outcome: "refused",
    expected: "fail",
  },
  {
    name: "an answer was lost and the call may not be repeated",
    progress: { kind: "nonIdempotent" },
    outcome: "broken",
    expected: "fail",
  },
  {
    name: "a stream that may not be resumed was lost",
    progress: { kind: "stream" },
    outcome: "broken",
    expected: "fail",
  },
  {
    name: "an idempotent call was lost",
    outcome: "broken",
    expected: "retry",
  },
  {
    name: "an idempotent call failed at its last target",
    progress: { targetsSent: 2 },
    outcome: "failed",
    expected: "passFailure",
  },
  {
    name: "a stream that has begun and may not be resumed",
    progress: { kind: "stream", hasAnswerStarted: true },
    outcome: "broken",
    expected: "cut",
  },
  {
    name: "a stream that has begun and may be resumed",
    progress: { kind: "stream", isResumable: true, hasAnswerStarted: true },
    outcome: "broken",
    expected: "retry",
  },
  {
    name: "no time is left",
    progress: { remainingMs: 5 },
    outcome: "notSent",
    expected: "refuse",
  },
];

for (const { name, progress, outcome, expected } of CASES) {
  test(`What follows: ${name}`, () => {
    assert.equal(decideNextAction(create(progress), outcome).type, expected);
  });
}

const PROGRESS = fc.record({
  kind: fc.constantFrom("idempotent", "nonIdempotent", "stream"),
  isResumable: fc.boolean(),
  maxTargets: fc.integer({ min: 1, max: 4 }),
  targetsSent: fc.integer({ min: 1, max: 4 }),
  mayHaveRun: fc.boolean(),
  hasAnswerStarted: fc.boolean(),
  remainingMs: fc.integer({ min: 0, max: 1_000 }),
});
const OUTCOME = fc.constantFrom<AttemptOutcome>(
  "notSent",
  "refused",
  "failed",
  "broken",
  "silent",
);

test("What may have run is neither repeated without leave nor called not run", () => {
  fc.assert(
    fc.property(PROGRESS, OUTCOME, (progress, outcome) => {
      const move = decideNextAction(progress, outcome);
      const hasRun = outcome !== "notSent" && outcome !== "refused";
      if (move.type === "retry" && hasRun) assert.ok(isRepeatable(progress));
      if (move.type === "refuse") {
        assert.ok(
          !hasRun && !progress.mayHaveRun && !progress.hasAnswerStarted,
        );
      }
      if (move.type === "retry" && outcome !== "notSent") {
        assert.ok(progress.targetsSent < progress.maxTargets);
      }
    }),
  );
});

function create(progress: Partial<RequestProgress> = {}): RequestProgress {
  return {
    kind: "idempotent",
    isResumable: false,
    maxTargets: 2,
    targetsSent: 1,
    mayHaveRun: false,
    hasAnswerStarted: false,
    remainingMs: 500,
    ...progress,
  };
}
