import assert from "node:assert/strict";
import { test } from "node:test";
import { RegistrationReader } from "./mod.ts";

const SPEC = { service: "s", address: "1.2.3.4:5", state: "ready", slots: 8 };

// Guards against a log that another writer fills by writing an object again and
// again, or with a long name.
test("A registration that names no target is logged once until it does or is gone", () => {
  const logged: unknown[] = [];
  const reader = RegistrationReader.create({
    log: (_, fields) => void logged.push(fields["target"]),
  });
  const odd = (name: string) => ({ name, revision: 1, spec: undefined });
  const sound = (name: string) => ({ name, revision: 1, spec: SPEC });
  for (let count = 0; count < 3; count++) {
    const targets = reader.readList([odd("a"), sound("b"), odd("c")]);
    assert.deepEqual(targets.map(({ id }) => id), ["b"]);
    assert.equal(reader.read(odd("a")), undefined);
  }
  assert.deepEqual(logged.splice(0), ["a", "c"]);
  reader.forget("a");
  assert.equal(reader.read(sound("c"))?.id, "c");
  reader.readList([odd("a"), odd("c"), odd("n".repeat(1_000))]);
  assert.deepEqual(logged.splice(0), ["a", "c", "n".repeat(128)]);
  reader.readList(Array.from({ length: 1_000 }, (_, index) => odd(`${index}`)));
  assert.equal(logged.length, 256);
});
