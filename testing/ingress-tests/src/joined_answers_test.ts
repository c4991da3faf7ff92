/**
 * Answers that have begun when their target breaks off. What the caller gets
 * after that has to continue what it has, or the answer must not look complete.
 */

import { renderRawAnswer } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  nextId,
  type RawSite,
  sendRawCall,
  startRawEngines,
  startRawSite,
  waitForEngines,
} from "./raw_site.ts";

const ROUTE_TIMEOUT_MS = 2_000;

/** Longer than an answer that is kept until it is whole. */
const LONG_BYTES = 2_000_000;
const CUT_AT_BYTES = 1_500_000;
const LONG_CALLS = 12;

// Guards against an idempotent answer of two targets: the start of the first one's,
// and then the whole one of the second.
test("A long answer that breaks off isn't continued by another target's", async (t) => {
  const site = await startRawSite(t, { routeTimeoutMs: ROUTE_TIMEOUT_MS });
  const attempts = new Map<string, number>();
  const engines = await startRawEngines(t, site, (engineCall) => {
    const { attemptId, path, socket } = engineCall;
    if (path.startsWith("/open/")) {
      return void socket.write(renderRawAnswer(engineCall));
    }
    const count = (attempts.get(attemptId) ?? 0) + 1;
    attempts.set(attemptId, count);
    const body = String(count).repeat(LONG_BYTES);
    const whole = renderRawAnswer(engineCall, { body });
    if (count > 1) return void socket.write(whole);
    socket.write(whole.slice(0, CUT_AT_BYTES), () => socket.end());
  });
  await waitForEngines(site, engines);
  for (let index = 0; index < LONG_CALLS; index++) {
    const path = index % 2 === 0 ? "/safe/" : "/once/";
    const received = await readRaw(site, path + nextId("a"));
    const [, body = ""] = received.split("\r\n\r\n");
    assert.match(received, /^HTTP\/1\.1 200 /);
    assert.ok(body.length < LONG_BYTES, `${body.length} bytes`);
    assert.match(body, /^1+$/);
  }
});

/** Reads what a connection receives until its end. */
function readRaw(site: RawSite, path: string): Promise<string> {
  const socket = sendRawCall(site, path);
  let received = "";
  socket.on("data", (bytes) => received += String(bytes));
  return new Promise((resolve) => {
    socket.on("close", () => resolve(received));
  });
}
