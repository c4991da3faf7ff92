/** Memory of an agent for each answered key. */

import * as admit from "@dandelionbank/admit-attempts";
import { digestKey } from "@dandelionbank/digest-bodies";
import type { Figure } from "../bench.ts";
import { createHead, createKey } from "../ledger/fixtures.ts";
import { readLiveBytes } from "./heap.ts";
import { type Point, toFigures } from "./slope.ts";

const WARM_UP_KEYS = 5_000;
const SIZES = [20_000, 40_000, 60_000, 80_000, 100_000] as const;

export function measureKeyState(): readonly Figure[] {
  fillAgent(WARM_UP_KEYS);
  const points = SIZES.map((size): Point => {
    const before = readLiveBytes();
    const state = fillAgent(size);
    const value = readLiveBytes() - before;
    if (admit.readFigures(state).keys !== size) {
      throw new Error("The table lacks keys");
    }
    return { size, value };
  });
  return toFigures({ name: "agentBytesPerKey", unit: "B" }, points);
}

function fillAgent(size: number): admit.AdmitState {
  const state = admit.createAdmitState({
    incarnation: "agent",
    maxInFlight: 10,
    maxKeys: size * 2,
    maxKeptBytes: size * 1_000,
    keyRetentionMs: size * 10,
    lingerMs: 10_000,
    retryAfterMs: 100,
  });
  admit.step(state, { type: "closingsRead", incarnations: [] }, 0);
  for (let number = 1; number <= size; number++) {
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
  return state;
}
