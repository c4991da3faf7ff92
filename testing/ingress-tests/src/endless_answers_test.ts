/**
 * Targets in trouble send bytes that are no answer, without end, until the
 * connection is closed. An entry has to close it long before the route's timeout
 * and must not keep the bytes.
 */

import { call, startSite, waitFor } from "@dandelionbank/run-entry";
import {
  ENDLESS_FORMS,
  type EngineScript,
  renderAnswerHead,
  sendWithoutEnd,
} from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";

const CHUNK = Buffer.alloc(65_536, "x");
/** Far below the timeout of the routes, which is 2 s. */
const MAX_ELAPSED_MS = 1_500;

/** Comments are part of a sound stream, however small their chunks are. */
const SOUND_FORM = "comments in chunks of one byte";

for (const [name, { renderStart, repeated }] of Object.entries(ENDLESS_FORMS)) {
  if (name === SOUND_FORM) continue;
  test(`A target that sends ${name} without end is cut off`, async (t) => {
    const site = await startSite(t, { engines: 1 });
    const sockets: Socket[] = [];
    site.engines[0]!.script = (engineCall) => {
      sockets.push(engineCall.response.socket!);
      const start = renderStart(engineCall);
      sendWithoutEnd(engineCall, { start, repeated });
    };
    const answer = await call(site, { path: "/live/a" });
    assert.ok(answer.status >= 500 || !answer.isComplete);
    assert.ok(answer.elapsedMs < MAX_ELAPSED_MS, `${answer.elapsedMs} ms`);
    await waitFor(() => sockets.every(({ destroyed }) => destroyed));
  });
}

test("Calm callers are served while ten targets send without end", async (t) => {
  const site = await startSite(t, { engines: 12 });
  const endless: EngineScript = (engineCall) => {
    const start = `${renderAnswerHead(engineCall)}data: `;
    sendWithoutEnd(engineCall, { start, repeated: CHUNK });
  };
  for (const engine of site.engines.slice(2)) {
    const whole = engine.script;
    engine.script = (engineCall) => {
      const isStream = engineCall.path.startsWith("/live/");
      (isStream ? endless : whole)(engineCall);
    };
  }
  const before = process.memoryUsage().rss;
  const streams = Array.from(
    { length: 20 },
    () => call(site, { path: "/live/a" }),
  );
  for (let index = 0; index < 50; index++) {
    const answer = await call(site, { path: "/safe/a" });
    assert.equal(answer.status, 200);
    assert.ok(answer.elapsedMs < 300, `${answer.elapsedMs} ms`);
  }
  await Promise.all(streams);
  const grownBytes = process.memoryUsage().rss - before;
  assert.ok(grownBytes < 200_000_000, `${grownBytes} bytes`);
});
