import assert from "node:assert/strict";
import { test } from "node:test";
import { createError, DandelionError } from "./mod.ts";

test("An error carries code, step, peer, hint and cause", () => {
  const cause = new Error("Connection refused");
  const error = createError("Cannot read the config", {
    code: "DANDELIONBANK_PLATFORM_UNREACHABLE",
    step: "read config",
    peer: "platform",
    hint: "Check --platform-url",
    cause,
  });

  assert.ok(error instanceof DandelionError);
  assert.equal(error.code, "DANDELIONBANK_PLATFORM_UNREACHABLE");
  assert.equal(error.step, "read config");
  assert.equal(error.peer, "platform");
  assert.equal(error.hint, "Check --platform-url");
  assert.match(error.message, /Cannot read the config: Connection refused/);
});
