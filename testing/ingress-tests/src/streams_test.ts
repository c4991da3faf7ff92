import { type EngineCall, streamEvents } from "@dandelionbank/standin-site";
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

test("A resumed stream does not keep the length that its first target gave", async (t) => {
  const site = await startSite(t);
  let isFirst = true;
  for (const engine of site.engines) {
    engine.script = (engineCall) => {
      if (!isFirst) return streamEvents({ last: 6 })(engineCall);
      isFirst = false;
      const { response, answerHeaders } = engineCall;
      const lengthBytes = FOUR_EVENTS.length + 1;
      response.writeHead(200, {
        ...answerHeaders,
        "content-length": lengthBytes,
      });
      response.write(FOUR_EVENTS, () => response.socket?.resetAndDestroy());
    };
  }
  const answer = await call(site, { path: "/stream/a" });
  assert.equal(answer.headers["content-length"], undefined);
  assert.ok(answer.isComplete);
  assert.equal([...answer.body.matchAll(/id: /g)].length, 6);
});

const FOUR_EVENTS = [1, 2, 3, 4]
  .map((id) => `id: ${id}\ndata: token ${id}\n\n`)
  .join("");
const INCOMPLETE_EVENT = "id: 5\ndata: ha";

/** Ways in which a target may mark the end of its answer. */
const FRAMINGS: Readonly<
  Record<string, (call: EngineCall, text: string) => void>
> = {
  "its connection": ({ response, answerHeaders }, text) => {
    response.socket!.end(renderUnframedHead(answerHeaders) + text);
  },
  "a last chunk": ({ response, answerHeaders }, text) => {
    response.writeHead(200, answerHeaders);
    response.write(text);
    response.end();
  },
  "a length": ({ response, answerHeaders }, text) => {
    response.writeHead(200, {
      ...answerHeaders,
      "content-length": text.length,
    });
    response.end(text);
  },
};

for (const [framing, send] of Object.entries(FRAMINGS)) {
  test(`A stream that ends inside an event, by ${framing}, does not look complete`, async (t) => {
    const site = await startSite(t, { engines: 1 });
    site.engines[0]!.script = (engineCall) =>
      send(engineCall, FOUR_EVENTS + INCOMPLETE_EVENT);
    const answer = await call(site, { path: "/live/a" });
    assert.ok(!answer.isComplete);
    assert.equal(answer.body, FOUR_EVENTS);
  });

  test(`A stream that ends inside an event, by ${framing}, is resumed at another target`, async (t) => {
    const site = await startSite(t);
    let isFirst = true;
    for (const engine of site.engines) {
      engine.script = (engineCall) => {
        if (!isFirst) return streamEvents({ last: 6 })(engineCall);
        isFirst = false;
        send(engineCall, FOUR_EVENTS + INCOMPLETE_EVENT);
      };
    }
    const answer = await call(site, { path: "/stream/a" });
    assert.ok(answer.isComplete);
    const ids = [...answer.body.matchAll(/id: (\d+)\ndata: token/g)];
    assert.deepEqual(ids.map(([, id]) => Number(id)), [1, 2, 3, 4, 5, 6]);
  });

  test(`A stream that ends after an event, by ${framing}, is complete`, async (t) => {
    const site = await startSite(t, { engines: 1 });
    site.engines[0]!.script = (engineCall) => send(engineCall, FOUR_EVENTS);
    const answer = await call(site, { path: "/live/a" });
    assert.ok(answer.isComplete);
    assert.equal(answer.body, FOUR_EVENTS);
  });
}

test("A stream without a length that ends before its first event does not look complete", async (t) => {
  const site = await startSite(t, { engines: 1 });
  site.engines[0]!.script = ({ response, answerHeaders }) => {
    response.socket!.end(renderUnframedHead(answerHeaders));
  };
  const answer = await call(site, { path: "/live/a" });
  assert.ok(!answer.isComplete);
});

for (const delayMs of [0, 30]) {
  test(`A stream without a length whose connection is reset ${delayMs} ms after an event does not look complete`, async (t) => {
    const site = await startSite(t, { engines: 1 });
    site.engines[0]!.script = ({ response, answerHeaders }) => {
      const socket = response.socket!;
      socket.write(renderUnframedHead(answerHeaders) + FOUR_EVENTS);
      setTimeout(() => socket.resetAndDestroy(), delayMs);
    };
    for (let index = 0; index < 10; index++) {
      assert.ok(!(await call(site, { path: "/live/a" })).isComplete);
    }
  });
}

function renderUnframedHead(headers: EngineCall["answerHeaders"]): string {
  const lines = Object.entries(headers).map((field) => field.join(": "));
  return ["HTTP/1.1 200 OK", ...lines, "connection: close", "", ""].join(
    "\r\n",
  );
}
