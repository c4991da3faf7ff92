import { HEADERS } from "@dandelionbank/platform-adapter";
import {
  type EngineCall,
  type EngineScript,
  refuseAsNotRun,
  resetConnection,
  sendCompleteAnswer,
} from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { Agent } from "node:http";
import type { Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { call, startSite, waitFor } from "@dandelionbank/run-entry";

test("A success goes back whole, with its seal", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const answer = await call(site, { path: "/safe/a?b=c", body: "question" });
  assert.equal(answer.status, 200);
  assert.equal(answer.body, "whole answer question");
  assert.equal(answer.headers[HEADERS.answerSeal], "seal-e0");
});

test("A target gets the organisation of the key, never the key", async (t) => {
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
  const leftMs = Number(headers[HEADERS.deadlineMs]);
  assert.ok(leftMs > 1_000 && leftMs <= 1_500, String(leftMs));
});

test("A public route passes no organisation on", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const headers = { [HEADERS.organisation]: "forged" };
  await call(site, { path: "/open/a", headers });
  const sent = site.engines[0]!.calls[0]!.headers;
  assert.equal(sent[HEADERS.organisation], undefined);
});

interface WrongAnswer {
  readonly name: string;
  readonly script: EngineScript;
}

const WRONG_ANSWERS: readonly WrongAnswer[] = [
  {
    name: "of another request",
    script: (each) => {
      const answerHeaders = {
        ...each.answerHeaders,
        [HEADERS.attemptId]: "another",
      };
      sendCompleteAnswer({ ...each, answerHeaders });
    },
  },
  {
    name: "without a seal",
    script: (each) => sendCompleteAnswer({ ...each, answerHeaders: {} }),
  },
  {
    name: "with an encoded body",
    script: (each) => {
      const answerHeaders = {
        ...each.answerHeaders,
        "content-encoding": "gzip",
      };
      sendCompleteAnswer({ ...each, answerHeaders });
    },
  },
  {
    name: "cut short",
    script: ({ response, answerHeaders }) => {
      response.writeHead(200, { ...answerHeaders, "content-length": 100 });
      response.write("half", () => response.socket?.destroy());
    },
  },
  {
    name: "that is none",
    script: ({ response }) => {
      response.socket?.end("these are not the bytes\r\n\r\n");
    },
  },
  {
    name: "that promises not to have run, without proof",
    script: ({ response, answerHeaders }) => {
      response.writeHead(503, { ...answerHeaders, "content-length": 0 }).end();
    },
  },
  { name: "lost", script: resetConnection },
  {
    name: "without a length whose connection is reset",
    script: (each) => writeUnframed(each, (socket) => socket.resetAndDestroy()),
  },
];

for (const { name, script } of WRONG_ANSWERS) {
  test(`An answer ${name} is a failure, and is not tried again`, async (t) => {
    const site = await startSite(t);
    for (const engine of site.engines) engine.script = script;
    const answer = await call(site, { path: "/once/a" });
    assert.equal(answer.status, 502);
    assert.equal(answer.headers[HEADERS.answerSeal], undefined);
    const runs = site.engines.flatMap(({ calls }) => calls);
    assert.equal(runs.length, 1);
  });

  test(`After an answer ${name}, an idempotent call goes elsewhere`, async (t) => {
    const site = await startSite(t);
    let isFirst = true;
    for (const engine of site.engines) {
      engine.script = (each) => {
        const chosen = isFirst ? script : sendCompleteAnswer;
        isFirst = false;
        chosen(each);
      };
    }
    const answer = await call(site, { path: "/safe/a" });
    assert.equal(answer.status, 200);
    assert.equal(answer.body, "whole answer x");
  });
}

test("An answer without a length ends with its connection", async (t) => {
  const site = await startSite(t, { engines: 1 });
  site.engines[0]!.script = (each) =>
    writeUnframed(each, (socket) => socket.end());
  const answer = await call(site, { path: "/once/a" });
  assert.equal(answer.status, 200);
  assert.equal(answer.body, "half");
});

function writeUnframed(
  { response, answerHeaders }: EngineCall,
  end: (socket: Socket) => void,
): void {
  const socket = response.socket!;
  const lines = Object.entries(answerHeaders).map((field) => field.join(": "));
  const head = ["HTTP/1.1 200 OK", ...lines, "Connection: close"];
  socket.write(`${head.join("\r\n")}\r\n\r\nhalf`);
  // The answer's bytes arrive before the connection ends.
  setTimeout(() => end(socket), 30);
}

test("A reset that comes with the last bytes is no end of an answer", async (t) => {
  const site = await startSite(t, { engines: 1 });
  site.engines[0]!.script = ({ response, answerHeaders }) => {
    const socket = response.socket!;
    const lines = Object.entries(answerHeaders).map((field) =>
      field.join(": ")
    );
    const head = ["HTTP/1.1 200 OK", ...lines, "Connection: close"];
    socket.write(`${head.join("\r\n")}\r\n\r\nhalf`);
    socket.resetAndDestroy();
  };
  for (let index = 0; index < 20; index++) {
    assert.equal((await call(site, { path: "/once/a" })).status, 502);
  }
});

test("A target's own failure goes back as it was", async (t) => {
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

test("A call that targets refuse has not run, and is told when to return", async (t) => {
  const site = await startSite(t);
  for (const engine of site.engines) engine.script = refuseAsNotRun;
  const answer = await call(site, { path: "/safe/a" });
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers["retry-after"]) > 0);
  const runs = site.engines.flatMap(({ calls }) => calls);
  assert.equal(runs.length, 2);
});

test("A call that was lost and then refused is not called not run", async (t) => {
  const site = await startSite(t);
  let isFirst = true;
  for (const engine of site.engines) {
    engine.script = (each) => {
      const chosen = isFirst ? resetConnection : refuseAsNotRun;
      isFirst = false;
      chosen(each);
    };
  }
  assert.equal((await call(site, { path: "/safe/a" })).status, 502);
});

test("A second answer on a kept connection reaches nobody", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const [engine] = site.engines;
  engine!.script = (each) => {
    sendCompleteAnswer(each);
    const { response } = each;
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

test("At the route's timeout the caller has an answer and the target stops", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const [engine] = site.engines;
  engine!.script = () => undefined;
  const answer = await call(site, { path: "/open/a" });
  assert.equal(answer.status, 504);
  assert.ok(answer.elapsedMs >= 390 && answer.elapsedMs < 900);
  await waitFor(() => engine!.abandonedCalls === 1);
});

test("When a caller leaves, its target stops", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const [engine] = site.engines;
  engine!.script = () => undefined;
  const leave = new AbortController();
  const left = call(site, { path: "/safe/a", signal: leave.signal });
  await waitFor(() => engine!.calls.length === 1);
  leave.abort();
  await assert.rejects(left);
  await waitFor(() => engine!.abandonedCalls === 1);
});

test("A target that loses answers is left alone for a while", async (t) => {
  const site = await startSite(t);
  const [bad, good] = site.engines;
  bad!.script = resetConnection;
  for (let index = 0; index < 12; index++) {
    assert.equal((await call(site, { path: "/safe/a" })).status, 200);
  }
  assert.equal(bad!.calls.length, 1);
  assert.equal(good!.calls.length, 12);
  const violations = site.lines.filter(({ name }) =>
    name === "invariantViolated"
  );
  assert.deepEqual(violations, []);
});

test("Calls go to the target that has fewer of them under way", async (t) => {
  const site = await startSite(t);
  const [slow, quick] = site.engines;
  slow!.script = (each) => {
    setTimeout(() => sendCompleteAnswer(each), 400);
  };
  const calls = Array.from({ length: 12 }, async (_, index) => {
    await delay(index * 20);
    return await call(site, { path: "/once/a" });
  });
  for (const { status } of await Promise.all(calls)) assert.equal(status, 200);
  assert.ok(slow!.calls.length <= 3, String(slow!.calls.length));
  assert.ok(quick!.calls.length >= 9, String(quick!.calls.length));
});

test("A body over the limit is turned away", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const body = "x".repeat(8_192);
  assert.equal((await call(site, { path: "/safe/a", body })).status, 413);
  assert.equal(site.engines[0]!.calls.length, 0);
});
