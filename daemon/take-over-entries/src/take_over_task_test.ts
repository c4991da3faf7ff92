import { MemoryStore } from "@dandelionbank/memory-store";
import type { View } from "@dandelionbank/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { TakeOverTask } from "./mod.ts";

const LOST = "incarnation-lost";
/** Longer than the test. */
const LEASE_MS = 60_000;
const VALUES: readonly unknown[] = [
  null,
  "text",
  [],
  {},
  { incarnation: 7 },
  { entry: "entry-2", incarnation: "other", successor: "other" },
];

// Guards against a takeover that is retried for ever, since the lost incarnation
// was closed by an object that is no closing.
test("A malformed closing is replaced", async (t) => {
  for (const value of VALUES) {
    const store = MemoryStore.create();
    store.seed({ kind: "closing", name: LOST }, value);
    const retries: string[] = [];
    const task = TakeOverTask.create({
      incarnation: "incarnation-own",
      leaseMs: LEASE_MS,
      store,
      logger: {
        log: (name) => {
          if (name === "takeOverRetried") retries.push(name);
        },
      },
      findAgent: () => undefined,
    });
    t.after(() => task.stop());
    task.applyView(createView());
    task.renewOwnLease(performance.now() + LEASE_MS);
    task.reportEntryLost(LOST);
    await delay(50);
    const stored = await store.get("closing", LOST);
    assert.deepEqual(stored?.value, {
      entry: "entry-2",
      incarnation: LOST,
      successor: "incarnation-own",
    });
    assert.deepEqual(retries, []);
  }
});

function createView(): View {
  const registrations = [
    { name: "entry-1", incarnation: "incarnation-own" },
    { name: "entry-2", incarnation: LOST },
  ].map((fields, index) => ({
    kind: "entry" as const,
    name: fields.name,
    uid: fields.name,
    revision: index + 1,
    changeId: fields.name,
    value: {
      ...fields,
      callerUrl: "http://127.0.0.1:1",
      peerUrl: "http://127.0.0.1:1",
      dataCentre: "a",
    },
  }));
  return {
    revision: 2,
    config: undefined,
    contracts: new Map(),
    operators: new Map(),
    invalidOperators: new Set(),
    stops: new Map(),
    agents: new Map(),
    entries: new Map(registrations.map((object) => [object.name, object])),
    closings: new Map(),
  };
}
