import { createError } from "@dandelionbank/error";
import assert from "node:assert/strict";
import { test } from "node:test";
import { describeError, stopGracefully } from "./mod.ts";

test("An error is described with its code, step, peer and hint", () => {
  const options = { code: "DANDELIONBANK_X", step: "listen", hint: "Look" };
  assert.equal(
    describeError(createError("No port", options)),
    "DANDELIONBANK_X: No port (listen). Look",
  );
  assert.equal(
    describeError(createError("No port", { ...options, peer: "a:1" })),
    "DANDELIONBANK_X: No port (listen, a:1). Look",
  );
  assert.equal(describeError(new Error("plain")), "Error: plain");
});

test("A graceful stop is logged before and after", async () => {
  const events: string[] = [];
  const running = {
    start: () => Promise.resolve(),
    stop: () => {
      events.push("stop");
      return Promise.resolve();
    },
  };
  const logger = { log: (name: string) => void events.push(name) };
  await stopGracefully(running, { logger, signal: "SIGTERM" });
  assert.deepEqual(events, ["processStopping", "stop", "processStopped"]);
});
