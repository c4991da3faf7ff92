import { streamEvents } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { test } from "node:test";
import { call, startSite } from "@dandelionbank/run-entry";

test("A stream that is cut within an event is resumed at another target", async (t) => {
  const site = await startSite(t);
  let isFirst = true;
  for (const engine of site.engines) {
    engine.script = (engineCall) => {
      const script = isFirst
        ? streamEvents({ last: 6, cutAfter: 3 })
        : streamEvents({ last: 6 });
      isFirst = false;
      script(engineCall);
    };
  }
  const answer = await call(site, { path: "/stream/a" });
  assert.equal(answer.status, 200);
  assert.ok(answer.isComplete);
  const ids = [...answer.body.matchAll(/id: (\d+)\ndata: token/g)];
  assert.deepEqual(ids.map(([, id]) => Number(id)), [1, 2, 3, 4, 5, 6]);
});

test("A stream that no target completes does not look complete", async (t) => {
  const site = await startSite(t);
  for (const engine of site.engines) {
    engine.script = streamEvents({ last: 6, cutAfter: 4 });
  }
  const answer = await call(site, { path: "/stream/a" });
  assert.ok(!answer.isComplete);
  const ids = [...answer.body.matchAll(/id: (\d+)\ndata: token/g)];
  assert.deepEqual(ids.map(([, id]) => Number(id)), [1, 2, 3, 4]);
});

test("A stream that makes no progress is resumed at another target", async (t) => {
  const site = await startSite(t);
  let isFirst = true;
  for (const engine of site.engines) {
    engine.script = (engineCall) => {
      if (!isFirst) return streamEvents({ last: 4 })(engineCall);
      isFirst = false;
      engineCall.response.writeHead(200, engineCall.answerHeaders);
      engineCall.response.write("id: 1\ndata: token 1\n\n");
    };
  }
  const answer = await call(site, { path: "/stream/a" });
  assert.ok(answer.isComplete);
  assert.equal([...answer.body.matchAll(/id: /g)].length, 4);
});
