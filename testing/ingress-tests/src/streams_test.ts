import {
  type EngineCall,
  type EngineScript,
  renderAnswerHead,
  streamEvents,
} from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  call,
  type CallAnswer,
  type Site,
  startSite,
} from "@dandelionbank/run-entry";

test("A stream that is cut within an event is resumed at another target", async (t) => {
  const site = await startSite(t);
  answerFirst(site, streamEvents({ last: 6, cutAfter: 3 }), { last: 6 });
  const answer = await call(site, { path: "/stream/a" });
  assert.equal(answer.status, 200);
  assert.ok(answer.isComplete);
  assert.deepEqual(listEventIds(answer), [1, 2, 3, 4, 5, 6]);
});

test("A stream that no target completes does not look complete", async (t) => {
  const site = await startSite(t);
  for (const engine of site.engines) {
    engine.script = streamEvents({ last: 6, cutAfter: 4 });
  }
  const answer = await call(site, { path: "/stream/a" });
  assert.ok(!answer.isComplete);
  assert.deepEqual(listEventIds(answer), [1, 2, 3, 4]);
});

test("A stream that makes no progress is resumed at another target", async (t) => {
  const site = await startSite(t);
  answerFirst(site, ({ response, answerHeaders }) => {
    response.writeHead(200, answerHeaders);
    response.write("id: 1\ndata: token 1\n\n");
  }, { last: 4 });
  const answer = await call(site, { path: "/stream/a" });
  assert.ok(answer.isComplete);
  assert.deepEqual(listEventIds(answer), [1, 2, 3, 4]);
});

test("A resumed stream does not keep the length that its first target gave", async (t) => {
  const site = await startSite(t);
  answerFirst(site, ({ response, answerHeaders }) => {
    response.writeHead(200, {
      ...answerHeaders,
      "content-length": FOUR_EVENTS.length + 1,
    });
    response.write(FOUR_EVENTS, () => response.socket?.resetAndDestroy());
  }, { last: 6 });
  const answer = await call(site, { path: "/stream/a" });
  assert.equal(answer.headers["content-length"], undefined);
  assert.ok(answer.isComplete);
  assert.deepEqual(listEventIds(answer), [1, 2, 3, 4, 5, 6]);
});

const FOUR_EVENTS = [1, 2, 3, 4]
  .map((id) => `id: ${id}\ndata: token ${id}\n\n`)
  .join("");
const INCOMPLETE_EVENT = "id: 5\ndata: ha";
/** The end of the connection ends the answer. */
const CLOSED = { fields: { connection: "close" } };

/** Ways in which a target may mark the end of its answer. */
const FRAMINGS: Readonly<
  Record<string, (call: EngineCall, text: string) => void>
> = {
  "its connection": (engineCall, text) => {
    engineCall.response.socket!.end(
      renderAnswerHead(engineCall, CLOSED) + text,
    );
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
    answerFirst(
      site,
      (engineCall) => send(engineCall, FOUR_EVENTS + INCOMPLETE_EVENT),
      { last: 6 },
    );
    const answer = await call(site, { path: "/stream/a" });
    assert.ok(answer.isComplete);
    assert.deepEqual(listEventIds(answer), [1, 2, 3, 4, 5, 6]);
  });

  test(`A stream that ends after an event, by ${framing}, is complete`, async (t) => {
    const site = await startSite(t, { engines: 1 });
    site.engines[0]!.script = (engineCall) => send(engineCall, FOUR_EVENTS);
    const answer = await call(site, { path: "/live/a" });
    assert.ok(answer.isComplete);
    assert.equal(answer.body, FOUR_EVENTS);
  });
}

test("A stream that ends with a blank line in a packet of its own is complete", async (t) => {
  const site = await startSite(t, { engines: 1 });
  site.engines[0]!.script = ({ response, answerHeaders }) => {
    response.writeHead(200, answerHeaders);
    response.write(FOUR_EVENTS);
    setTimeout(() => response.end("\n"), 50);
  };
  const answer = await call(site, { path: "/live/a" });
  assert.ok(answer.isComplete);
  assert.equal(answer.body, `${FOUR_EVENTS}\n`);
});

test("A stream without a length that ends before its first event does not look complete", async (t) => {
  const site = await startSite(t, { engines: 1 });
  site.engines[0]!.script = (engineCall) => {
    engineCall.response.socket!.end(renderAnswerHead(engineCall, CLOSED));
  };
  const answer = await call(site, { path: "/live/a" });
  assert.ok(!answer.isComplete);
});

for (const delayMs of [0, 30]) {
  test(`A stream without a length whose connection is reset ${delayMs} ms after an event does not look complete`, async (t) => {
    const site = await startSite(t, { engines: 1 });
    site.engines[0]!.script = (engineCall) => {
      const socket = engineCall.response.socket!;
      socket.write(renderAnswerHead(engineCall, CLOSED) + FOUR_EVENTS);
      setTimeout(() => socket.resetAndDestroy(), delayMs);
    };
    for (let index = 0; index < 10; index++) {
      assert.ok(!(await call(site, { path: "/live/a" })).isComplete);
    }
  });
}

/** Answers the site's first call by `script`, and later ones with all events. */
function answerFirst(
  { engines }: Pick<Site, "engines">,
  script: EngineScript,
  { last }: { readonly last: number },
): void {
  let isFirst = true;
  for (const engine of engines) {
    engine.script = (engineCall) => {
      const chosen = isFirst ? script : streamEvents({ last });
      isFirst = false;
      chosen(engineCall);
    };
  }
}

/** Lists the ids of the events in an answer. */
function listEventIds({ body }: CallAnswer): readonly number[] {
  const ids = [...body.matchAll(/id: (\d+)\ndata: token/g)];
  return ids.map(([, id]) => Number(id));
}
