/**
 * Targets in trouble whose answers have a status that is none, such as 000, alone or
 * around a sound one. Callers get their own whole answer, or a failure.
 */

import { renderRawAnswer, renderRawBody } from "@dandelionbank/standin-site";
import type { RawCall } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  callNamed,
  callRepeatedly,
  nextId,
  startRawEngines,
  startRawSite,
  waitForEngines,
} from "./raw_site.ts";

const PATHS = ["/safe/", "/once/", "/live/", "/stream/"];
const STATUS_BAD_GATEWAY = 502;
const CALLERS = 4;
const CALLS_PER_CALLER = 24;

/** The body of a call's answer, which is one event on streaming routes. */
function renderBody(call: Pick<RawCall, "attemptId" | "path">): string {
  const text = renderRawBody(call);
  const isStream = /^\/(?:live|stream)\//.test(call.path);
  return isStream ? `id: 1\ndata: ${text}\n\n` : text;
}

function renderAnswer(call: RawCall): string {
  return renderRawAnswer(call, { body: renderBody(call) });
}

function renderInvalid(call: RawCall, status = "000"): string {
  return renderAnswer(call).replace(" 200 ", ` ${status} `);
}

function renderForAnother(call: RawCall): string {
  const attemptId = nextId("x");
  return renderAnswer({ ...call, attemptId });
}

const FORMS: Readonly<Record<string, (call: RawCall) => string>> = {
  "000": renderInvalid,
  "001": (call) => renderInvalid(call, "001"),
  "099": (call) => renderInvalid(call, "099"),
  "0000": (call) => renderInvalid(call, "0000"),
  "00": (call) => renderInvalid(call, "00"),
  "-01": (call) => renderInvalid(call, "-01"),
  "no status": (call) => renderInvalid(call, ""),
  "000 without fields": () => "HTTP/1.1 000\r\n\r\n",
  "000 without a seal": (call) => renderInvalid({ ...call, answerHeaders: {} }),
  "000 of another attempt": (call) =>
    renderForAnother(call).replace(" 200 ", " 000 "),
  "000 behind an interim head": (call) =>
    `HTTP/1.1 102 Processing\r\n\r\n${renderInvalid(call)}`,
  "000 before the own answer": (call) =>
    `HTTP/1.1 000 Status\r\n\r\n${renderAnswer(call)}`,
  "000 before another answer": (call) =>
    `HTTP/1.1 000 Status\r\n\r\n${renderForAnother(call)}`,
  "000 whose body is another answer": (call) => {
    const body = renderForAnother(call);
    return renderRawAnswer(call, { body }).replace(" 200 ", " 000 ");
  },
};

test("No caller gets an answer whose status is none", async (t) => {
  const site = await startRawSite(t, { routeTimeoutMs: 1_000 });
  for (const [name, render] of Object.entries(FORMS)) {
    await t.test(name, async (t) => {
      const engines = await startRawEngines(t, site, (call) => {
        call.socket.write(render(call));
      });
      for (const path of PATHS) {
        const { answer } = await callNamed(site, path);
        assert.equal(answer.status, STATUS_BAD_GATEWAY, path);
        assert.equal(
          answer.headers["x-dandelionbank-response-seal"],
          undefined,
        );
      }
      const once = engines.flatMap(({ calls }) => calls)
        .filter(({ path }) => path.startsWith("/once/"));
      assert.equal(once.length, 1, "a call that may have run is not repeated");
      assert.ok(site.entry.isRunning);
    });
  }
});

test("A request whose first target answers 000 gets the whole answer of the next one", async (t) => {
  const site = await startRawSite(t, { routeTimeoutMs: 2_000 });
  const seen = new Set<string>();
  const engines = await startRawEngines(t, site, (call) => {
    const isFirst = !seen.has(call.attemptId);
    seen.add(call.attemptId);
    call.socket.write(isFirst ? renderInvalid(call) : renderAnswer(call));
  });
  await waitForEngines(site, engines);
  const { attemptId, answer } = await callNamed(site, "/safe/");
  assert.equal(answer.status, 200);
  const path = "/safe/";
  assert.equal(answer.body, renderBody({ attemptId, path }));
});

test("Late second answers with the status 000 reach no later call", async (t) => {
  const site = await startRawSite(t, { routeTimeoutMs: 1_000 });
  const engines = await startRawEngines(t, site, (call) => {
    const { socket } = call;
    socket.write(renderAnswer(call));
    setTimeout(() => {
      if (socket.writable) socket.write(renderInvalid(call));
    }, 2);
  });
  await waitForEngines(site, engines);
  const results = await callRepeatedly(site, {
    callers: CALLERS,
    callsPerCaller: CALLS_PER_CALLER,
    paths: PATHS,
  });
  let served = 0;
  for (const { attemptId, path, answer } of results) {
    if (answer === undefined || !answer.isComplete) continue;
    assert.ok([200, STATUS_BAD_GATEWAY].includes(answer.status), path);
    if (answer.status !== 200) continue;
    assert.equal(answer.body, renderBody({ attemptId, path }));
    served += 1;
  }
  t.diagnostic(`${served} of ${results.length} calls were served`);
  assert.ok(served > results.length / 2);
});
