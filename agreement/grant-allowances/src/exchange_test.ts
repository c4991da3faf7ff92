import assert from "node:assert/strict";
import { test } from "node:test";
import type { AllowanceMessage, LimitShare } from "@dandelionbank/types";
import {
  computeUsableShare,
  createShareCoordinator,
  createShareHolder,
  LOAN_DURATION_MS,
  OFFER_DURATION_MS,
  stepShareCoordinator,
  stepShareHolder,
} from "./mod.ts";
import type { ShareHolderEvent } from "./mod.ts";

const SETTLE_MS = 8_000;
const LIMITS = createShare(12);

interface Entry {
  readonly send: (event: ShareHolderEvent, nowMs: number) => void;
  readonly concurrentAt: (nowMs: number) => number;
}

function createShare(concurrentRequests: number): LimitShare {
  return {
    requestsPerSecond: concurrentRequests,
    concurrentRequests,
    tokensPerMinute: concurrentRequests,
  };
}

/** Entries a, b and c, each also a coordinator; `deliver` may drop messages. */
function createEntries(
  deliver: (message: AllowanceMessage, to: string) => boolean = () => true,
) {
  const names = ["a", "b", "c"];
  const pending: { to: string; message: AllowanceMessage }[] = [];
  const coordinators = new Map(names.map((name) => [
    name,
    createShareCoordinator({ coordinator: name, incarnation: `${name}1` }),
  ]));
  const entries = new Map(names.map((name) => [name, createEntry(name)]));

  function createEntry(name: string): Entry {
    const state = createShareHolder({
      entry: name,
      incarnation: `${name}1`,
      settleMs: SETTLE_MS,
    });
    let concurrentAt = (_nowMs: number) => 0;
    const send = (event: ShareHolderEvent, nowMs: number) => {
      for (const effect of stepShareHolder(state, event, nowMs).effects) {
        if (effect.type === "send") pending.push(effect);
        if (effect.type !== "holdingChanged") continue;
        const { holding } = effect;
        concurrentAt = (at) =>
          computeUsableShare(holding, at).concurrentRequests;
      }
    };
    return { send, concurrentAt: (nowMs) => concurrentAt(nowMs) };
  }

  function handle(to: string, message: AllowanceMessage, nowMs: number): void {
    const entry = entries.get(to)!;
    if (message.type === "allowanceAnswer") {
      return entry.send({ type: "answered", answer: message }, nowMs);
    }
    if (message.type === "offersWanted") {
      return entry.send({ type: "offersWanted", call: message }, nowMs);
    }
    const coordinator = coordinators.get(to)!;
    const event = { type: "asked", ask: message } as const;
    for (
      const effect of stepShareCoordinator(coordinator, event, nowMs).effects
    ) {
      assert.equal(effect.type, "send");
      if (effect.type === "send") pending.push(effect);
    }
  }

  function run(nowMs: number): void {
    for (let next = pending.shift(); next; next = pending.shift()) {
      if (deliver(next.message, next.to)) handle(next.to, next.message, nowMs);
    }
  }

  for (const [name, entry] of entries) {
    const organisation = "o";
    entry.send({ type: "freshnessUpdated", freshUntilMs: Infinity }, 0);
    entry.send({ type: "contractChanged", organisation, limits: LIMITS }, 0);
    entry.send({ type: "entriesChanged", organisation, entries: names }, 0);
    for (
      const event of [
        { type: "freshnessUpdated", freshUntilMs: Infinity },
        { type: "contractChanged", organisation, limits: LIMITS },
        { type: "entriesChanged", organisation, entries: names },
      ] as const
    ) stepShareCoordinator(coordinators.get(name)!, event, 0);
  }
  const demand = (name: string, concurrent: number, nowMs: number) => {
    entries.get(name)!.send({
      type: "demandMeasured",
      organisation: "o",
      demand: createShare(concurrent),
    }, nowMs);
    run(nowMs);
  };
  const tick = (nowMs: number) => {
    for (const entry of entries.values()) entry.send({ type: "tick" }, nowMs);
    run(nowMs);
  };
  const runUntil = (untilMs: number, fromMs: number) => {
    for (let at = fromMs; at <= untilMs; at += 500) tick(at);
  };
  const usableAt = (nowMs: number) =>
    names.map((name) => entries.get(name)!.concurrentAt(nowMs));
  const lowerLimits = (limits: LimitShare, nowMs: number) => {
    const event = {
      type: "contractChanged",
      organisation: "o",
      limits,
    } as const;
    for (const name of names) {
      entries.get(name)!.send(event, nowMs);
      stepShareCoordinator(coordinators.get(name)!, event, nowMs);
    }
  };
  const loseFreshness = (nowMs: number) => {
    const event = { type: "freshnessUpdated", freshUntilMs: nowMs } as const;
    for (const name of names) {
      stepShareCoordinator(coordinators.get(name)!, event, nowMs);
    }
  };
  return { demand, tick, runUntil, usableAt, lowerLimits, loseFreshness };
}

test("An entry may use nothing until its list of entries has settled, then an even part", () => {
  const { tick, usableAt } = createEntries();
  tick(SETTLE_MS - 1);
  assert.deepEqual(usableAt(SETTLE_MS - 1), [0, 0, 0]);
  tick(SETTLE_MS);
  assert.deepEqual(usableAt(SETTLE_MS), [4, 4, 4]);
});

test("An entry that needs more borrows all that the others can spare", () => {
  const { demand, runUntil, usableAt } = createEntries();
  runUntil(SETTLE_MS, SETTLE_MS);
  demand("b", 12, 10_000);
  runUntil(13_000, 10_500);
  assert.deepEqual(usableAt(13_000), [0, 12, 0]);
});

test("Nothing is sent while every entry has enough", () => {
  let sent = 0;
  const { demand, runUntil } = createEntries(() => {
    sent += 1;
    return true;
  });
  runUntil(SETTLE_MS, SETTLE_MS);
  for (const name of ["a", "b", "c"]) demand(name, 3, 10_000);
  runUntil(20_000, 10_500);
  assert.equal(sent, 0);
});

test("A lender that needs its share gets it back through the coordinator", () => {
  const { demand, runUntil, usableAt } = createEntries();
  runUntil(SETTLE_MS, SETTLE_MS);
  demand("b", 12, 10_000);
  runUntil(13_000, 10_500);
  demand("c", 4, 13_000);
  runUntil(15_000, 13_000);
  assert.deepEqual(usableAt(15_000), [0, 8, 4]);
  runUntil(20_000, 15_500);
  assert.deepEqual(usableAt(20_000), [0, 8, 4]);
});

test("A disconnected entry falls back to its reserved share and stops lending", () => {
  let cut = false;
  const { demand, runUntil, usableAt } = createEntries(() => !cut);
  runUntil(SETTLE_MS, SETTLE_MS);
  demand("b", 12, 10_000);
  runUntil(13_000, 10_500);
  cut = true;
  runUntil(13_000 + LOAN_DURATION_MS, 13_500);
  assert.deepEqual(usableAt(13_000 + LOAN_DURATION_MS), [0, 4, 0]);
  runUntil(13_000 + OFFER_DURATION_MS + 500, 13_500 + LOAN_DURATION_MS);
  assert.deepEqual(usableAt(13_000 + OFFER_DURATION_MS + 500), [4, 4, 4]);
});

test("Entries ask another coordinator when the first does not answer", () => {
  const { demand, runUntil, usableAt } = createEntries((message, to) =>
    message.type !== "allowanceAsk" || to !== "a"
  );
  runUntil(SETTLE_MS, SETTLE_MS);
  demand("b", 12, 10_000);
  runUntil(18_000, 10_500);
  assert.deepEqual(usableAt(18_000), [0, 12, 0]);
});

test("A lowered limit takes effect once earlier loans have expired", () => {
  const { demand, runUntil, usableAt, lowerLimits } = createEntries();
  runUntil(SETTLE_MS, SETTLE_MS);
  demand("b", 12, 10_000);
  runUntil(13_000, 10_500);
  lowerLimits(createShare(3), 13_000);
  runUntil(13_000 + LOAN_DURATION_MS, 13_500);
  assert.deepEqual(usableAt(13_000 + LOAN_DURATION_MS), [0, 3, 0]);
});

test("A coordinator whose view is stale grants nothing", () => {
  const { demand, runUntil, usableAt, loseFreshness } = createEntries();
  runUntil(SETTLE_MS, SETTLE_MS);
  loseFreshness(SETTLE_MS);
  demand("b", 12, 10_000);
  runUntil(13_000, 10_500);
  assert.equal(usableAt(13_000)[1], 4);
});
