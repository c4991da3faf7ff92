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
    name: "no connection was made, whatever the kind of the request",
    progress: { kind: "nonIdempotent", maxTargets: 1 },
    outcome: "notSent",
    expected: "retry",
  },
  {
    name: "a target refused a request that is not repeatable",
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
    name: "the last target refused after an attempt that may have run",
    progress: { mayHaveRun: true, targetsSent: 2 },
    outcome: "refused",
    expected: "fail",
  },
  {
    name: "the answer to a request that is not repeatable was lost",
    progress: { kind: "nonIdempotent" },
    outcome: "broken",
    expected: "fail",
  },
  {
    name: "a stream that is not resumable was lost",
    progress: { kind: "stream" },
    outcome: "broken",
    expected: "fail",
  },
  {
    name: "the answer to an idempotent request was lost",
    outcome: "broken",
    expected: "retry",
  },
  {
    name: "an idempotent request failed at the last target",
    progress: { targetsSent: 2 },
    outcome: "failed",
    expected: "passFailure",
  },
  {
    name: "a started stream that is not resumable was lost",
    progress: { kind: "stream", hasAnswerStarted: true },
    outcome: "broken",
    expected: "cut",
  },
  {
    name: "a started stream that is resumable was lost",
    progress: { kind: "stream", isResumable: true, hasAnswerStarted: true },
    outcome: "broken",
    expected: "retry",
  },
  {
    name: "a started answer to an idempotent request was lost",
    progress: { hasAnswerStarted: true },
    outcome: "broken",
    expected: "cut",
  },
  {
    name: "too little time is left for a retry",
    progress: { remainingMs: 5 },
    outcome: "notSent",
    expected: "refuse",
  },
];

for (const { name, progress, outcome, expected } of CASES) {
  test(`The next action is ${expected} if ${name}`, () => {
    assert.equal(
      decideNextAction(createProgress(progress), outcome).type,
      expected,
    );
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

test("A request that may have run is retried only if repeatable and never called not run", () => {
  fc.assert(
    fc.property(PROGRESS, OUTCOME, (progress, outcome) => {
      const action = decideNextAction(progress, outcome);
      const hasRun = outcome !== "notSent" && outcome !== "refused";
      if (action.type === "retry" && hasRun) assert.ok(isRepeatable(progress));
      if (action.type === "refuse") {
        assert.ok(
          !hasRun && !progress.mayHaveRun && !progress.hasAnswerStarted,
        );
      }
      if (action.type === "retry" && outcome !== "notSent") {
        assert.ok(progress.targetsSent < progress.maxTargets);
      }
    }),
  );
});

test("An answer that has begun is continued only if it is a resumable stream", () => {
  fc.assert(
    fc.property(PROGRESS, OUTCOME, (progress, outcome) => {
      if (!progress.hasAnswerStarted) return;
      const { type } = decideNextAction(progress, outcome);
      const isResumable = progress.kind === "stream" && progress.isResumable;
      assert.ok(type === "cut" || (type === "retry" && isResumable));
    }),
  );
});

function createProgress(
  progress: Partial<RequestProgress> = {},
): RequestProgress {
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
