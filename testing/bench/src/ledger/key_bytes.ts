/** Memory of an ended key in the agent's key table. */

import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import * as admit from "@dandelionbank/admit-attempts";
import { digestKey } from "@dandelionbank/digest-bodies";
import { createHead, createKey } from "./fixtures.ts";

const KEYS = 100_000;
/** Number of keys that are added between two ticks, at which keys expire. */
const KEYS_PER_TICK = 1_000;

/** Measures heap bytes per key, not counting the stored answers themselves. */
export function measureKeyBytes(): number {
  setFlagsFromString("--expose_gc");
  const collect: () => void = runInNewContext("gc");
  const state = admit.createAdmitState({
    incarnation: "agent",
    maxInFlight: 10,
    maxKeys: KEYS * 2,
    maxKeptBytes: KEYS * 1_000,
    keyRetentionMs: KEYS,
    lingerMs: 10_000,
    retryAfterMs: 100,
  });
  admit.step(state, { type: "closingsRead", incarnations: [] }, 0);
  addKeys(state, { from: 1, to: 10 });
  collect();
  const before = process.memoryUsage().heapUsed;
  addKeys(state, { from: 11, to: KEYS + 10 });
  replaceAllKeys(state);
  collect();
  const after = process.memoryUsage().heapUsed;
  return (after - before) / admit.readFigures(state).keys;
}

/** Replaces the content of the table once: as many keys expire as are added. */
function replaceAllKeys(state: admit.AdmitState): void {
  for (let number = KEYS + 11; number <= KEYS * 2; number += KEYS_PER_TICK) {
    addKeys(state, { from: number, to: number + KEYS_PER_TICK - 1 });
    admit.step(state, { type: "tick" }, number + KEYS_PER_TICK);
  }
}

function addKeys(
  state: admit.AdmitState,
  numbers: { readonly from: number; readonly to: number },
): void {
  for (let number = numbers.from; number <= numbers.to; number++) {
    const key = createKey(number);
    const attemptId = `entry.${number}`;
    admit.step(state, {
      type: "attemptArrived",
      head: { ...createHead(key), attemptId },
      keyId: digestKey("acme", key),
      agentIncarnation: "agent",
    }, number);
    admit.step(
      state,
      { type: "runEnded", attemptId, answerBytes: 100 },
      number,
    );
  }
}
