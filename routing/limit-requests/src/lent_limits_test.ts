import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createShareCoordinator,
  createShareHolder,
  stepShareCoordinator,
  stepShareHolder,
} from "@dandelionbank/grant-allowances";
import type { ShareHolderEvent } from "@dandelionbank/grant-allowances";
import type { AllowanceMessage, Contract } from "@dandelionbank/types";
import { createLimitState, limitRequests } from "./mod.ts";
import type { LimitEffect, LimitEvent } from "./mod.ts";

const NAMES = ["a", "b"];
const SETTLE_MS = 12_000;
const TICK_MS = 1_000;

const CONTRACT: Contract = {
  organisation: "malabar",
  keyDigests: [],
  requestsPerSecond: 20,
  concurrentRequests: 40,
  tokensPerMinute: 60_000,
  shareWeight: 1,
  priority: 5,
  objective: { firstTokenMs: 1, betweenTokensMs: 1, answeredMs: 1 },
};

/** Creates two entries, with limiter and holdings connected as in production. */
function createEntries() {
  const pending: { to: string; message: AllowanceMessage }[] = [];
  const entries = new Map(NAMES.map((name) => [name, createEntry(name)]));
  const coordinator = createShareCoordinator({
    coordinator: "a",
    incarnation: "a1",
  });
  const { organisation } = CONTRACT;
  for (
    const event of [
      { type: "freshnessUpdated", freshUntilMs: Infinity },
      { type: "contractChanged", organisation, limits: CONTRACT },
      { type: "entriesChanged", organisation, entries: NAMES },
    ] as const
  ) {
    stepShareCoordinator(coordinator, event, 0);
    for (const entry of entries.values()) entry.stepHolder(event, 0);
  }

  function createEntry(name: string) {
    const limiter = createLimitState(name);
    const shares = createShareHolder({
      entry: name,
      incarnation: `${name}1`,
      settleMs: SETTLE_MS,
    });
    const stepLimiter = (event: LimitEvent, nowMs: number) => {
      const { effects } = limitRequests(limiter, event, nowMs);
      for (const effect of effects) {
        if (effect.type === "demandMeasured") stepHolder(effect, nowMs);
      }
      return effects;
    };
    const stepHolder = (event: ShareHolderEvent, nowMs: number) => {
      for (const effect of stepShareHolder(shares, event, nowMs).effects) {
        if (effect.type === "send") pending.push(effect);
        else stepLimiter(effect, nowMs);
      }
    };
    stepLimiter({ type: "contractChanged", contract: CONTRACT }, 0);
    return { stepLimiter, stepHolder };
  }

  function deliver(nowMs: number): void {
    for (let next = pending.shift(); next; next = pending.shift()) {
      const { to, message } = next;
      const entry = entries.get(to)!;
      if (message.type === "allowanceAnswer") {
        entry.stepHolder({ type: "answered", answer: message }, nowMs);
      } else if (message.type === "offersWanted") {
        entry.stepHolder({ type: "offersWanted", call: message }, nowMs);
      } else {
        const event = { type: "asked", ask: message } as const;
        for (
          const effect of stepShareCoordinator(coordinator, event, nowMs)
            .effects
        ) {
          if (effect.type === "send") pending.push(effect);
        }
      }
    }
  }

  /** Sends `count` requests to an entry within a second; returns those admitted. */
  function runSecond(name: string, count: number, fromMs: number): number {
    const { stepLimiter } = entries.get(name)!;
    let admitted = 0;
    for (let index = 0; index < count; index++) {
      const nowMs = fromMs + index * TICK_MS / count;
      const requestId = `${name}-${nowMs}`;
      const effects: readonly LimitEffect[] = stepLimiter({
        type: "requestArrived",
        requestId,
        organisation: CONTRACT.organisation,
        pool: "p",
        estimatedTokens: 1,
      }, nowMs);
      if (effects[0]?.type !== "admit") continue;
      admitted += 1;
      stepLimiter({ type: "requestEnded", requestId, actualTokens: 1 }, nowMs);
    }
    for (const entry of entries.values()) {
      entry.stepLimiter({ type: "tick" }, fromMs + TICK_MS);
      entry.stepHolder({ type: "tick" }, fromMs + TICK_MS);
    }
    deliver(fromMs + TICK_MS);
    return admitted;
  }

  return { runSecond };
}

test("An entry uses the share that another entry doesn't need, within the limit", () => {
  const { runSecond } = createEntries();
  let atMs = SETTLE_MS;
  const admitted: number[] = [];
  for (let second = 0; second < 10; second++) {
    admitted.push(runSecond("a", 40, atMs));
    atMs += TICK_MS;
  }
  assert.ok(admitted[0]! <= 10, `${admitted}`);
  assert.ok(admitted.slice(-3).every((n) => n >= 19 && n <= 20), `${admitted}`);
});
