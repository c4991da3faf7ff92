import assert from "node:assert/strict";
import { test } from "node:test";
import { checkGroupSwitch } from "./explore_group.ts";

const OPTIONS = {
  ranks: 2,
  coordinators: 2,
  lastStep: 3,
  maxStates: 100_000,
  livenessInterval: 50,
} as const;

for (const silence of ["agent", "vm"] as const) {
  test(`No pass has two maps and the group goes on, whatever two faults strike a switch (${silence})`, () => {
    const result = checkGroupSwitch({ ...OPTIONS, silence, faults: 2 });
    assert.equal(result.violation, undefined);
    assert.equal(result.truncated, false);
    assert.ok(result.states > 10_000, `${result.states} states`);
    assert.ok(result.continuations > 400, `${result.continuations} continued`);
  });
}

// A reverted switch must be safe without the check of terms: an agent that has
// been frozen knows no newer term than that of the order that it carries out.
test("No pass has two maps even if agents follow coordinators of older terms", () => {
  const result = checkGroupSwitch({
    ...OPTIONS,
    silence: "agent",
    faults: 1,
    mutation: { acceptsOldTerms: true },
  });
  assert.equal(result.violation, undefined);
  assert.equal(result.truncated, false);
});
