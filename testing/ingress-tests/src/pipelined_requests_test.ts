/**
 * Callers that send requests ahead of their answers. An entry that starts all of
 * them exceeds its memory, and the requests of other callers end with it.
 */

import {
  call,
  CALLER_KEY,
  createConfiguration,
  EntryProgram,
  ROUTE_HOST,
} from "@dandelionbank/run-entry";
import { HEADERS } from "@dandelionbank/platform-adapter";
import { SiteEngine, SiteStore } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";

/** `limits.memory_mb` of an entry on the users' platform. */
const MEMORY_BYTES = 350_000_000;
/** Limit of the heap, as in `deploy/system.toml`. */
const NODE_ARGS = ["--max-old-space-size=160"];
const CONNECTION_COUNT = 8;
const REQUESTS_PER_CONNECTION = 20_000;
const CALM_CALLS = 200;
const CALM_CALL_INTERVAL_MS = 10;

test("Requests sent ahead of their answers don't drive an entry over its memory", async (t) => {
  const store = await SiteStore.create();
  t.after(() => store.close());
  store.put("config", "main", createConfiguration());
  const engine = await SiteEngine.create("e0");
  t.after(() => engine.close());
  const whole = engine.script;
  // The first call of each connection is never answered.
  engine.script = (engineCall) => {
    if (engineCall.path === "/safe/calm") whole(engineCall);
  };
  store.put("servers", engine.id, engine.createServerSpec({ service: "s" }));
  const entry = await EntryProgram.start(t, {
    store,
    number: 1,
    nodeArgs: NODE_ARGS,
  });
  for (let index = 0; index < CONNECTION_COUNT; index++) {
    const socket = connect(entry.settings.callers!);
    t.after(() => socket.destroy());
    socket.on("error", () => undefined);
    socket.write(renderRequest(index).repeat(REQUESTS_PER_CONNECTION));
  }
  for (let index = 0; index < CALM_CALLS; index++) {
    const { status } = await call(entry, { path: "/safe/calm" })
      .catch(() => ({ status: 0 }));
    assert.ok(entry.isRunning, entry.loggedLines.slice(-3).join("\n"));
    assert.equal(status, 200, "a calm call");
    await delay(CALM_CALL_INTERVAL_MS);
  }
  const peakBytes = entry.readPeakResidentBytes();
  assert.ok(peakBytes < MEMORY_BYTES, `${peakBytes} bytes`);
});

function renderRequest(index: number): string {
  const fields = [
    "GET /once/ahead HTTP/1.1",
    `host: ${ROUTE_HOST}`,
    `${HEADERS.attemptId}: ahead-${index}`,
    `${HEADERS.credential}: ${CALLER_KEY}`,
    "",
    "",
  ];
  return fields.join("\r\n");
}
