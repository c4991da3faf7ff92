import type {
  DeleteResult,
  ObjectStore,
  StoredObject,
  WriteResult,
} from "@dandelionbank/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ProcessRegistration } from "./mod.ts";

test("Withdrawing waits for the write in flight and then removes its object", async () => {
  const store = new SlowStore();
  const registration = createRegistration(store);
  const written = registration.write();
  await store.isWriting;
  const withdrawn = registration.withdraw();
  store.finishWrite();
  await Promise.all([written, withdrawn]);
  assert.equal(store.current, undefined);
});

test("An earlier incarnation's registration is replaced, a later one's is kept", async () => {
  const store = new SlowStore();
  store.finishWrite();
  store.current = createObject("earlier", 4);
  const registration = createRegistration(store);
  await registration.write();
  assert.equal(store.current.value, "mine");
  store.current = createObject("later", 9);
  await registration.withdraw();
  assert.equal(store.current.value, "later");
});

function createRegistration(store: ObjectStore): ProcessRegistration {
  return ProcessRegistration.create({
    store,
    kind: "entry",
    name: "e1",
    value: "mine",
    logger: { log: () => {} },
  });
}

function createObject(value: unknown, revision: number): StoredObject {
  const uid = "u";
  return { kind: "entry", name: "e1", uid, revision, changeId: "c", value };
}

/** Store of one object in which a write completes when `finishWrite` is called. */
class SlowStore implements ObjectStore {
  current: StoredObject | undefined;
  finishWrite: () => void = () => {};
  readonly isWriting: Promise<void>;
  readonly #canFinish: Promise<void>;
  #notifyWriting: () => void = () => {};

  constructor() {
    this.isWriting = new Promise((resolve) => this.#notifyWriting = resolve);
    this.#canFinish = new Promise((resolve) => this.finishWrite = resolve);
  }

  list(): Promise<never> {
    return Promise.reject(new Error("Not used in this test"));
  }

  get(): Promise<StoredObject | undefined> {
    return Promise.resolve(this.current);
  }

  async put(
    _target: unknown,
    value: unknown,
    options: { readonly expectedRevision: number | undefined },
  ): Promise<WriteResult> {
    this.#notifyWriting();
    await this.#canFinish;
    if (options.expectedRevision !== this.current?.revision) {
      return { kind: "conflict", current: this.current };
    }
    this.current = createObject(value, (this.current?.revision ?? 0) + 1);
    return { kind: "written", object: this.current };
  }

  delete(_target: unknown, expectedRevision: number): Promise<DeleteResult> {
    if (this.current?.revision !== expectedRevision) {
      return Promise.resolve({ kind: "conflict", current: this.current });
    }
    this.current = undefined;
    return Promise.resolve({ kind: "deleted", revision: expectedRevision + 1 });
  }
}
