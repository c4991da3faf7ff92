import assert from "node:assert/strict";
import { test } from "node:test";
import { runSoak, SOAKS } from "./mod.ts";
import type { SoakViolation } from "./mod.ts";

/** Enough runs to check every invariant and inject every kind of fault. */
const RUNS = 150;
const SEED = 20_261_203;

/** Invariants that the fixed set of runs of each soak must check at least once. */
const REQUIRED_INVARIANTS: Readonly<Record<string, readonly string[]>> = {
  leases: [
    "executedNumberNeverFalls",
    "executedOnce",
    "orderedByHolder",
    "numberBelongsToOne",
    "steadyStateWritesNothing",
    "heldAfterFaults",
    "ordersRunAfterFaults",
  ],
  map: [
    "oneMapPerStep",
    "oneOutcomePerProposal",
    "goesOnAfterFaults",
    "agreesAfterFaults",
    "switchesAfterFaults",
  ],
  requests: [
    "runsAtMostOnce",
    "notRunIsTrue",
    "notRunStaysTrue",
    "wholeAnswerOfItsOwn",
    "oneOutcomeForEachCaller",
    "everyCallerAnswered",
    "freeKeyNeverRan",
    "stopTakesNothingNew",
    "drainCutsNothing",
    "unrepeatableDispatchedOnce",
    "answerStaysInOrganisation",
  ],
  config: [
    "acceptedIsInForce",
    "allAgreeAfterFaults",
    "worksAfterFaults",
  ],
  limits: [
    "sharesWithinLimits",
    "loansWithinLimits",
    "limitUsableAfterFaults",
  ],
  prompts: [
    "crashingPromptsRefused",
    "soundPromptsServed",
    "knownPartsServed",
  ],
};

for (const soak of SOAKS) {
  test(`A fixed set of runs of ${soak.name} violates no invariant`, () => {
    const violations: SoakViolation[] = [];
    const summary = runSoak(soak, {
      seed: SEED,
      runs: RUNS,
      onViolation: (violation) => violations.push(violation),
    });
    assert.deepEqual(violations, []);
    for (const invariant of REQUIRED_INVARIANTS[soak.name] ?? []) {
      const count = summary.invariants[invariant] ?? 0;
      assert.ok(count > 0, `${invariant} was never checked`);
    }
  });

  test(`The same seed gives the same run of ${soak.name}`, () => {
    const report = soak.run(SEED);
    assert.deepEqual(soak.run(SEED), report);
    assert.notDeepEqual(soak.run(SEED + 1), report);
  });
}
