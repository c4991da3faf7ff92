import assert from "node:assert/strict";
import { test } from "node:test";
import { runSoak, SOAKS } from "./mod.ts";
import type { SoakViolation } from "./mod.ts";

/** Enough runs that each invariant and kind of fault comes up. */
const RUNS = 150;
const SEED = 20_261_203;

/** What a fixed set of runs of each soak must at least have exercised. */
const EXERCISED: Readonly<Record<string, readonly string[]>> = {
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
};

for (const soak of SOAKS) {
  test(`A fixed set of runs of ${soak.name} violates nothing`, () => {
    const violations: SoakViolation[] = [];
    const summary = runSoak(soak, {
      seed: SEED,
      runs: RUNS,
      onViolation: (violation) => violations.push(violation),
    });
    assert.deepEqual(violations, []);
    for (const invariant of EXERCISED[soak.name] ?? []) {
      const count = summary.invariants[invariant] ?? 0;
      assert.ok(count > 0, `${invariant} was never checked`);
    }
  });

  test(`The same seed gives the same run of ${soak.name}`, () => {
    const once = soak.run(SEED);
    assert.deepEqual(soak.run(SEED), once);
    assert.notDeepEqual(soak.run(SEED + 1), once);
  });
}
