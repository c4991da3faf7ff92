/** What one ended key costs in the agent's table. */

import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import * as admit from "@dandelionbank/admit-attempts";
import { createHead, createKey, digestKey } from "./fixtures.ts";

const KEYS = 100_000;

/** Heap bytes for each key, without the kept answers themselves. */
export function measureKeyBytes(): number {
  setFlagsFromString("--expose_gc");
  const collect: () => void = runInNewContext("gc");
  const state = admit.createAdmitState({
    incarnation: "agent",
    maxInFlight: 10,
    maxKeys: KEYS * 2,
    maxKeptBytes: KEYS * 1_000,
    keyLifeMs: 600_000,
    lingerMs: 10_000,
    retryAfterMs: 100,
  });
  admit.step(state, { type: "closingsRead", incarnations: [] }, 0);
  fill(state, { from: 1, to: 10 });
  collect();
  const before = process.memoryUsage().heapUsed;
  fill(state, { from: 11, to: KEYS + 10 });
  collect();
  const after = process.memoryUsage().heapUsed;
  if (admit.readFigures(state).keys !== KEYS + 10) {
    throw new Error("The table does not hold every key");
  }
  return (after - before) / KEYS;
}

function fill(
  state: admit.AdmitState,
  numbers: { readonly from: number; readonly to: number },
): void {
  for (let number = numbers.from; number <= numbers.to; number++) {
    const key = createKey(number);
    const attemptId = `entry.${number}`;
    admit.step(state, {
      type: "attemptArrived",
      head: { ...createHead(key), attemptId },
      keyId: flatten(digestKey(key)),
      agentIncarnation: "agent",
    }, number);
    admit.step(
      state,
      { type: "runEnded", attemptId, answerBytes: 100 },
      number,
    );
  }
}

/** A copy that keeps no longer string alive. */
function flatten(text: string): string {
  return Buffer.from(text, "latin1").toString("latin1");
}
