import type { StoreClient } from "@dandelionbank/platform-adapter";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type KindEvent, KindWatcher } from "./mod.ts";

// Guards against a view that counts as current although a change was not applied.
test("After an event that could not be applied nothing is proven until a new list is", async () => {
  const seen: KindEvent["type"][] = [];
  let lists = 0;
  const logged: string[] = [];
  const watcher = KindWatcher.create({
    client: createClient(() => lists += 1),
    kind: "config",
    waitMs: 20,
    logger: { log: (name) => void logged.push(name) },
    onEvent: ({ type }) => {
      seen.push(type);
      if (type === "listed" && lists === 1) throw new Error("unusable");
    },
  });
  while (lists < 2) await delay(10);
  await delay(10);
  watcher.stop();
  assert.deepEqual(seen.slice(0, 3), ["listed", "listed", "proven"]);
  assert.deepEqual(logged, ["unexpectedError"]);
});

function createClient(onList: () => void): StoreClient {
  const list = () => {
    onList();
    const value = { items: [], revision: 1, era: 1 };
    return Promise.resolve({ kind: "ok", value });
  };
  const watch = async () => {
    await delay(20);
    return { kind: "ok", value: { changes: [], revision: 1 } };
  };
  return { list, watch } as unknown as StoreClient;
}
