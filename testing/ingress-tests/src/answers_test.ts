import { HEADERS } from "@dandelionbank/platform-adapter";
import {
  type EngineCall,
  type EngineScript,
  HeldLink,
  refuseAsNotRun,
  renderAnswerHead,
  resetConnection,
  sendCompleteAnswer,
} from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { Agent } from "node:http";
import type { Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { call, startSite, waitFor } from "@dandelionbank/run-entry";

test("A successful answer is forwarded completely, with its seal", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const answer = await call(site, { path: "/safe/a?b=c", body: "question" });
  assert.equal(answer.status, 200);
  assert.equal(answer.body, "whole answer question");
  assert.equal(answer.headers[HEADERS.answerSeal], "seal-e0");
});

test("A target receives the organisation of the key, never the key itself", async (t) => {
  const site = await startSite(t, { engines: 1 });
  await call(site, {
    path: "/safe/a?b=c",
    headers: {
      [HEADERS.organisation]: "forged",
      [HEADERS.expectedTarget]: "forged",
      [HEADERS.deadlineMs]: "1500",
      "connection": "close, x-private",
      "x-private": "1",
      "x-kept": "2",
    },
  });
  const { headers, path, method } = site.engines[0]!.calls[0]!;
  assert.equal(method, "POST");
  assert.equal(path, "/safe/a?b=c");
  assert.equal(headers[HEADERS.organisation], "org-1");
  assert.equal(headers[HEADERS.credential], undefined);
  assert.equal(headers[HEADERS.expectedTarget], "e0");
  assert.equal(headers["x-private"], undefined);
  assert.equal(headers["x-kept"], "2");
  const remainingMs = Number(headers[HEADERS.deadlineMs]);
  assert.ok(remainingMs > 1_000 && remainingMs <= 1_500, String(remainingMs));
});

test("A public route forwards no organisation", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const headers = { [HEADERS.organisation]: "forged" };
  await call(site, { path: "/open/a", headers });
  const sent = site.engines[0]!.calls[0]!.headers;
  assert.equal(sent[HEADERS.organisation], undefined);
});

test("An answer that never has a body is forwarded without one", async (t) => {
  const site = await startSite(t, { engines: 1 });
  site.engines[0]!.script = ({ response, answerHeaders }) => {
    response.writeHead(204, { ...answerHeaders, connection: "close" }).end();
  };
  const answer = await call(site, { path: "/once/a" });
  assert.equal(answer.status, 204);
});

interface FailedAnswerCase {
  readonly name: string;
  readonly script: EngineScript;
}

const FAILED_ANSWER_CASES: readonly FailedAnswerCase[] = [
  {
    name: "for another attempt",
    script: (engineCall) => {
      const answerHeaders = {
        ...engineCall.answerHeaders,
        [HEADERS.attemptId]: "another",
      };
      sendCompleteAnswer({ ...engineCall, answerHeaders });
    },
  },
  {
    name: "without a seal",
    script: (engineCall) => {
      const attemptId = engineCall.answerHeaders[HEADERS.attemptId]!;
      const answerHeaders = { [HEADERS.attemptId]: attemptId };
      sendCompleteAnswer({ ...engineCall, answerHeaders });
    },
  },
  {
    name: "without an attempt id",
    script: (engineCall) => {
      const seal = engineCall.answerHeaders[HEADERS.answerSeal]!;
      const answerHeaders = { [HEADERS.answerSeal]: seal };
      sendCompleteAnswer({ ...engineCall, answerHeaders });
    },
  },
  {
    name: "with an encoded body",
    script: (engineCall) => {
      const answerHeaders = {
        ...engineCall.answerHeaders,
        "content-encoding": "gzip",
      };
      sendCompleteAnswer({ ...engineCall, answerHeaders });
    },
  },
  {
    name: "that is truncated",
    script: ({ response, answerHeaders }) => {
      response.writeHead(200, { ...answerHeaders, "content-length": 100 });
      response.write("half", () => response.socket?.destroy());
    },
  },
  {
    name: "that is not HTTP",
    script: ({ response }) => {
      response.socket?.end("these are not the bytes\r\n\r\n");
    },
  },
  {
    name: "with status 503 and no proof that the call did not run",
    script: ({ response, answerHeaders }) => {
      response.writeHead(503, { ...answerHeaders, "content-length": 0 }).end();
    },
  },
  {
    // Its target may have broken off.
    name: "without a length, that ends behind its head",
    script: (engineCall) => {
      const head = renderAnswerHead(engineCall, {
        fields: { connection: "close" },
      });
      engineCall.response.socket?.end(head);
    },
  },
  { name: "lost to a connection reset", script: resetConnection },
  {
    name: "without a length, whose connection is reset",
    script: (engineCall) =>
      writeUnframed(engineCall, (socket) => socket.resetAndDestroy()),
  },
];

for (const { name, script } of FAILED_ANSWER_CASES) {
  test(`An answer ${name} is a failure and is not retried`, async (t) => {
    const site = await startSite(t);
    for (const engine of site.engines) engine.script = script;
    const answer = await call(site, { path: "/once/a" });
    assert.equal(answer.status, 502);
    assert.equal(answer.headers[HEADERS.answerSeal], undefined);
    const engineCalls = site.engines.flatMap(({ calls }) => calls);
    assert.equal(engineCalls.length, 1);
  });

  test(`After an answer ${name}, an idempotent call is retried at another target`, async (t) => {
    const site = await startSite(t);
    let isFirst = true;
    for (const engine of site.engines) {
      engine.script = (engineCall) => {
        const chosen = isFirst ? script : sendCompleteAnswer;
        isFirst = false;
        chosen(engineCall);
      };
    }
    const answer = await call(site, { path: "/safe/a" });
    assert.equal(answer.status, 200);
    assert.equal(answer.body, "whole answer x");
  });
}

test("An answer without a length is complete when its connection ends", async (t) => {
  const site = await startSite(t, { engines: 1 });
  site.engines[0]!.script = (engineCall) =>
    writeUnframed(engineCall, (socket) => socket.end());
  const answer = await call(site, { path: "/once/a" });
  assert.equal(answer.status, 200);
  assert.equal(answer.body, "half");
});

/** The end of the connection ends the answer. */
const CLOSED = { fields: { connection: "close" } };

/** Writes an answer without a length, which ends when its connection is closed. */
function writeUnframed(
  engineCall: EngineCall,
  end: (socket: Socket) => void,
): void {
  const socket = engineCall.response.socket!;
  socket.write(`${renderAnswerHead(engineCall, CLOSED)}half`);
  // The delay lets the answer's bytes arrive before the connection ends.
  setTimeout(() => end(socket), 30);
}

test("A reset right after the last bytes does not complete an answer", async (t) => {
  const site = await startSite(t, { engines: 1 });
  site.engines[0]!.script = (engineCall) => {
    const socket = engineCall.response.socket!;
    socket.write(`${renderAnswerHead(engineCall, CLOSED)}half`);
    socket.resetAndDestroy();
  };
  for (let index = 0; index < 20; index++) {
    assert.equal((await call(site, { path: "/once/a" })).status, 502);
  }
});

test("A target's own error answer is forwarded unchanged", async (t) => {
  const site = await startSite(t);
  for (const engine of site.engines) {
    engine.script = ({ response, answerHeaders }) => {
      response.writeHead(500, { ...answerHeaders, "content-length": 3 }).end(
        "bad",
      );
    };
  }
  const answer = await call(site, { path: "/once/a" });
  assert.equal(answer.status, 500);
  assert.equal(answer.body, "bad");
  assert.match(String(answer.headers[HEADERS.answerSeal]), /^seal-/);
});

test("A call that all targets refuse is answered with 503 and retry-after", async (t) => {
  const site = await startSite(t);
  for (const engine of site.engines) engine.script = refuseAsNotRun;
  const answer = await call(site, { path: "/safe/a" });
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers["retry-after"]) > 0);
  const runs = site.engines.flatMap(({ calls }) => calls);
  assert.equal(runs.length, 2);
});

test("A call that was lost and then refused is not reported as not run", async (t) => {
  const site = await startSite(t);
  let isFirst = true;
  for (const engine of site.engines) {
    engine.script = (engineCall) => {
      const chosen = isFirst ? resetConnection : refuseAsNotRun;
      isFirst = false;
      chosen(engineCall);
    };
  }
  assert.equal((await call(site, { path: "/safe/a" })).status, 502);
});

test("A surplus answer on a persistent connection reaches no caller", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const [engine] = site.engines;
  engine!.script = (engineCall) => {
    sendCompleteAnswer(engineCall);
    const { response } = engineCall;
    setTimeout(() => {
      response.socket?.write(
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra",
      );
    }, 20);
  };
  const agent = new Agent({ keepAlive: true });
  for (let index = 0; index < 4; index++) {
    const body = `q${index}`;
    const answer = await call(site, { path: "/safe/a", body, agent });
    assert.equal(answer.body, `whole answer ${body}`);
    await delay(index * 15);
  }
  agent.destroy();
});

test("At the route's timeout the caller gets an answer and the target's call is cancelled", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const [engine] = site.engines;
  engine!.script = () => undefined;
  const answer = await call(site, { path: "/open/a" });
  assert.equal(answer.status, 504);
  assert.ok(answer.elapsedMs >= 390 && answer.elapsedMs < 900);
  await waitFor(() => engine!.abandonedCalls === 1);
});

test("When a caller disconnects, the target's call is cancelled", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const [engine] = site.engines;
  engine!.script = () => undefined;
  const abortController = new AbortController();
  const aborted = call(site, {
    path: "/safe/a",
    signal: abortController.signal,
  });
  await waitFor(() => engine!.calls.length === 1);
  abortController.abort();
  await assert.rejects(aborted);
  await waitFor(() => engine!.abandonedCalls === 1);
});

test("A call held up on its way does not reach the target after its caller has left", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const engine = site.engines[0]!;
  const link = await HeldLink.create(engine.address);
  t.after(() => link.close());
  const spec = engine.createServerSpec({ service: "s" });
  site.store.put("servers", engine.id, { ...spec, address: link.address });
  await waitFor(async () => {
    await call(site, { path: "/safe/before" });
    return link.openCount > 0;
  });
  link.hold();
  const abortController = new AbortController();
  const { signal } = abortController;
  const aborted = call(site, { path: "/safe/held", signal });
  await waitFor(() => link.heldBytes > 0);
  abortController.abort();
  await assert.rejects(aborted);
  await waitFor(() => link.openCount === 0);
  link.release();
  await call(site, { path: "/safe/after" });
  const paths = engine.calls.map(({ path }) => path);
  assert.equal(paths.at(-1), "/safe/after");
  assert.ok(!paths.includes("/safe/held"), String(paths));
});

test("A target that loses answers gets no further calls for a while", async (t) => {
  const site = await startSite(t);
  const [failing, healthy] = site.engines;
  failing!.script = resetConnection;
  for (let index = 0; index < 12; index++) {
    assert.equal((await call(site, { path: "/safe/a" })).status, 200);
  }
  assert.equal(failing!.calls.length, 1);
  assert.equal(healthy!.calls.length, 12);
  const violations = site.lines.filter(({ name }) =>
    name === "invariantViolated"
  );
  assert.deepEqual(violations, []);
});

test("Calls go to the target with fewer calls in flight", async (t) => {
  const site = await startSite(t);
  const [slow, fast] = site.engines;
  slow!.script = (engineCall) => {
    setTimeout(() => sendCompleteAnswer(engineCall), 400);
  };
  const calls = Array.from({ length: 12 }, async (_, index) => {
    await delay(index * 20);
    return await call(site, { path: "/once/a" });
  });
  for (const { status } of await Promise.all(calls)) assert.equal(status, 200);
  assert.ok(slow!.calls.length <= 3, String(slow!.calls.length));
  assert.ok(fast!.calls.length >= 9, String(fast!.calls.length));
});

test("A body over the size limit is rejected with 413", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const body = "x".repeat(8_192);
  assert.equal((await call(site, { path: "/safe/a", body })).status, 413);
  assert.equal(site.engines[0]!.calls.length, 0);
});
