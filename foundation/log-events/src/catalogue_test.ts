import assert from "node:assert/strict";
import { test } from "node:test";
import { createLogEvent, LOG_EVENTS } from "./mod.ts";

test("Event ids are unique, texts end without a full stop, and each event has a help", () => {
  const definitions = Object.values(LOG_EVENTS);
  const ids = new Set(definitions.map((definition) => definition.id));
  assert.equal(ids.size, definitions.length);
  for (const definition of definitions) {
    assert.doesNotMatch(definition.text, /\.$/);
    assert.notEqual(definition.help, "");
  }
});

test("The text of an event is interpolated from its fields", () => {
  const event = createLogEvent("processStopped", { elapsedMs: 12 });
  assert.equal(event.id, 1002);
  assert.equal(event.text, "Stopped after 12 ms");
});
