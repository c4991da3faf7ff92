import assert from "node:assert/strict";
import { test } from "node:test";
import { createTextHash } from "./mod.ts";

test("The hash is the same in every version of this program", async () => {
  const hash = await createTextHash();
  assert.equal(hash(""), 0x02cc5d05);
  assert.equal(hash("a"), 0x550d7456);
  assert.equal(hash("abc"), 0x32d153ff);
});
