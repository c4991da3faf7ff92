/**
 * Answers that break off once a part of them has been sent or received, and what
 * comes in the place of the rest: another target's answer, or another one of the
 * same target.
 */

import { Random } from "@dandelionbank/message-queue";
import { HEADERS } from "@dandelionbank/platform-adapter";
import { type RawCall, renderRawAnswer } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  callNamed,
  nextId,
  type RawSite,
  renderEvents,
  sendRawCall,
  startRawEngines,
  startRawSite,
  waitForEngines,
} from "./raw_site.ts";

const SEED = 46;
const ROUTE_TIMEOUT_MS = 2_000;
const { attemptId: ATTEMPT_ID, notRun: NOT_RUN } = HEADERS;

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

const FILLED_CALLS = 16;
const FILLED_PATHS = ["/safe/", "/once/", "/stream/", "/live/"];

/** What a target writes where the rest of its answer is due. */
const FILLERS: Readonly<
  Record<string, (call: RawCall, whole: string) => string>
> = {
  "itself": (_, whole) => whole,
  "an error": (call) =>
    renderRawAnswer(call, { status: 500, body: "e".repeat(600) }),
  "a refusal": (call) =>
    renderRawAnswer(call, {
      status: 503,
      headers: { [ATTEMPT_ID]: call.attemptId, [NOT_RUN]: "1" },
      body: "e".repeat(600),
    }),
};

// Guards against the head of an answer in the body of another one.
for (const [name, renderFiller] of Object.entries(FILLERS)) {
  test(`An answer that breaks off isn't filled up by ${name}`, async (t) => {
    const site = await startRawSite(t, { routeTimeoutMs: ROUTE_TIMEOUT_MS });
    const random = Random.create(SEED);
    const engines = await startRawEngines(t, site, (engineCall) => {
      const { path, socket } = engineCall;
      const body = renderFilled(engineCall);
      const whole = renderRawAnswer(engineCall, { body });
      if (path.startsWith("/open/")) return void socket.write(whole);
      const cutAt = random.int(1, body.length - 400);
      socket.write(whole.slice(0, cutAt - body.length));
      setTimeout(() => socket.write(renderFiller(engineCall, whole)), 5);
    });
    await waitForEngines(site, engines);
    for (let index = 0; index < FILLED_CALLS; index++) {
      const path = FILLED_PATHS[index % FILLED_PATHS.length]!;
      const { attemptId, answer } = await callNamed(site, path);
      const { status, body, isComplete } = answer;
      const shown = JSON.stringify({ path, status, body, isComplete });
      if (status !== 200) continue;
      const whole = renderFilled({ path, attemptId });
      assert.ok(whole.startsWith(body) && !isComplete, shown);
    }
  });
}

function renderFilled(
  { path, attemptId }: Pick<RawCall, "path" | "attemptId">,
) {
  return path.startsWith("/stream/") || path.startsWith("/live/")
    ? renderEvents(1, 60)
    : attemptId.repeat(300);
}
