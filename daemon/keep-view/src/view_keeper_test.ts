import type { PlatformClient } from "@dandelionbank/call-platform";
import type { ObjectList } from "@dandelionbank/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { ViewKeeper } from "./mod.ts";

const ENTRY = {
  name: "e1",
  incarnation: "i1",
  callerUrl: "http://127.0.0.1:1",
  peerUrl: "http://127.0.0.1:1",
  dataCentre: "a",
};

// Guards against processes that end, or miss a change, as one of the tasks that
// follow the view throws.
test("An error of one listener keeps the others and the watch from nothing", async () => {
  const seen: (string | number)[] = [];
  const logged: string[] = [];
  let sendLine: (line: string) => void = () => {};
  const client = {
    list: (): Promise<ObjectList> =>
      Promise.resolve({ items: [], revision: 1 }),
    openWatch: (
      { onLine }: { readonly onLine: (line: string) => void },
    ) => {
      sendLine = onLine;
      return { close: () => {} };
    },
  } as unknown as PlatformClient;
  const keeper = ViewKeeper.create({
    client,
    logger: { log: (name) => void logged.push(name) },
    viewListeners: [
      () => {
        throw new Error("unusable");
      },
      ({ revision }) => void seen.push(revision),
    ],
    onWatchEvent: ({ type }) => {
      seen.push(type);
      if (type === "listed") throw new Error("unusable");
    },
  });
  const stop = keeper.start();
  await delay(1);
  const object = {
    kind: "entry",
    name: "e1",
    uid: "u1",
    revision: 2,
    changeId: "c",
    value: ENTRY,
  };
  sendLine(JSON.stringify({ type: "put", object }));
  stop();
  assert.deepEqual(seen, [1, "listed", 2, "changed"]);
  assert.equal(keeper.view?.entries.get("e1")?.revision, 2);
  const errors = logged.filter((name) => name === "unexpectedError");
  assert.equal(errors.length, 3);
});

// Guards against a target that gets new work although an operator has written its
// planned stop, as the value of that object cannot be read.
test("A planned stop whose value is invalid still stops its target", async () => {
  const values = [null, {}, { target: "other", reason: "r", requestedBy: "o" }];
  for (const value of values) {
    const logged: string[] = [];
    const id = {
      kind: "stop",
      name: "parts-1",
      uid: "u",
      changeId: "c",
    } as const;
    const items = [{ ...id, revision: 1, value }];
    const client = {
      list: () => Promise.resolve({ items, revision: 1 }),
      openWatch: () => ({ close: () => {} }),
    } as unknown as PlatformClient;
    const keeper = ViewKeeper.create({
      client,
      logger: { log: (name) => void logged.push(name) },
      viewListeners: [],
      onWatchEvent: () => {},
    });
    const stop = keeper.start();
    await delay(1);
    stop();
    assert.equal(keeper.view?.stops.get("parts-1")?.value.target, "parts-1");
    assert.ok(logged.includes("objectRefused"));
  }
});
