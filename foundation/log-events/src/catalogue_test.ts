import assert from "node:assert/strict";
import { test } from "node:test";
import { createLogEvent, LOG_EVENTS } from "./mod.ts";

test("Event numbers are unique and texts end without a full stop", () => {
  const definitions = Object.values(LOG_EVENTS);
  const ids = new Set(definitions.map((definition) => definition.id));
  assert.equal(ids.size, definitions.length);
  for (const definition of definitions) {
    assert.doesNotMatch(definition.text, /\.$/);
    assert.notEqual(definition.help, "");
  }
});

test("An event's text is filled in from its fields", () => {
  const event = createLogEvent("processStopped", { elapsedMs: 12 });
  assert.equal(event.id, 1002);
  assert.equal(event.text, "Stopped after 12 ms");
});
