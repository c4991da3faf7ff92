import assert from "node:assert/strict";
import { test } from "node:test";
import { parseStatus } from "./mod.ts";

const STATUS = {
  name: "entry-1",
  callersAddress: "10.0.0.1:80",
  peerAddress: "10.0.0.1:81",
  dataCentre: "a",
  takesCallers: true,
  mayUseKeys: false,
  activeByService: { s: 3 },
  suspects: {
    losses: [{ fingerprint: "f", target: "t", alone: false }],
    quarantined: ["g"],
  },
  prompts: {
    crashes: [{
      target: "t@5",
      ageMs: 30,
      requests: 2,
      parts: [{ part: "a1", requests: 2, depth: 1 }],
    }],
    survived: [{ part: "b2", ageMs: 40 }],
    survivedPrompts: 12,
    quarantined: [{ part: "c3", remainingMs: 5_000 }],
  },
  downTargets: ["t@5"],
  targetLimits: [
    { target: "t", perSecond: 1.5, ageMs: 20 },
    { target: "u", perSecond: null, ageMs: 0 },
  ],
  leavingTargets: ["v"],
};

test("A status survives encoding and parsing unchanged", () => {
  assert.deepEqual(parseStatus(JSON.stringify(STATUS)), STATUS);
});

test("Anything other than a valid status is rejected", () => {
  const invalid: readonly unknown[] = [
    null,
    [],
    { ...STATUS, name: 5 },
    { ...STATUS, peerAddress: "nowhere" },
    { ...STATUS, callersAddress: undefined },
    { ...STATUS, takesCallers: "yes" },
    { ...STATUS, activeByService: { s: "3" } },
    { ...STATUS, activeByService: null },
    { ...STATUS, suspects: { losses: [{}], quarantined: [] } },
    { ...STATUS, suspects: { losses: [], quarantined: [1] } },
    { ...STATUS, prompts: { ...STATUS.prompts, crashes: [{}] } },
    { ...STATUS, prompts: { ...STATUS.prompts, survivedPrompts: "12" } },
    { ...STATUS, downTargets: "t" },
  ];
  for (const value of invalid) {
    assert.equal(parseStatus(JSON.stringify(value)), undefined);
  }
  assert.equal(parseStatus("{"), undefined);
});
