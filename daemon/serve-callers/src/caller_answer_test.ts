import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, request, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { HttpCallerAnswer } from "./caller_answer.ts";

const HEAD = {
  status: 200,
  contentType: "text/event-stream",
  target: "target-1",
} as const;

test("A head and data from the same tick are sent in one write", async (t) => {
  const { writes, text } = await sendAndObserve(t, (response) => {
    const caller = createAnswer(response);
    caller.start(HEAD);
    caller.write("data: 1\n\n");
    caller.end();
  });
  assert.equal(text, "data: 1\n\n");
  assert.equal(writes, 1);
});

test("A head without data is sent at once", async (t) => {
  let finish = (): void => {};
  const { writes, text } = await sendAndObserve(t, (response) => {
    const caller = createAnswer(response);
    caller.start(HEAD);
    finish = () => {
      caller.write("data: 1\n\n");
      caller.end();
    };
  }, () => finish());
  assert.equal(text, "data: 1\n\n");
  assert.equal(writes, 2);
});

test("An error in the same tick as the head reaches the caller", async (t) => {
  const { status, text } = await sendAndObserve(t, (response) => {
    const caller = createAnswer(response);
    caller.start(HEAD);
    caller.sendOutcome({ kind: "unknown", code: "answerCut" });
  });
  assert.equal(status, 200);
  assert.match(text, /^event: error\n/);
});

test("A long answer that fails is cut after the bytes written before", async (t) => {
  const { text, isComplete } = await sendAndObserve(t, (response) => {
    const caller = createAnswer(response);
    caller.start({ ...HEAD, contentType: "text/plain" });
    caller.write("part");
    caller.sendOutcome({ kind: "failed", code: "answerCut" });
  });
  assert.equal(text, "part");
  assert.ok(!isComplete);
});

test("A stream to an HTTP/1.0 caller doesn't end with its connection alone", async (t) => {
  const server = createServer((_, response) => {
    const caller = createAnswer(response);
    caller.start(HEAD);
    caller.write("data: 1\n\n");
    setTimeout(() => {
      caller.sendOutcome({ kind: "unknown", code: "answerCut" });
    }, 20);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  socket.write("GET / HTTP/1.0\r\n\r\n");
  const text = String(Buffer.concat(await socket.toArray() as Buffer[]));
  const [head = "", body = ""] = text.split("\r\n\r\n");
  assert.match(head, new RegExp(`content-length: ${body.length}(\r|$)`));
  assert.match(body, /^data: 1\n\nevent: error\n/);
});

function createAnswer(response: ServerResponse): HttpCallerAnswer {
  return HttpCallerAnswer.create(response, {
    requestId: "request-1",
    entry: "entry-1",
  });
}

interface ObservedResponse {
  readonly status: number;
  readonly text: string;
  /** False if the connection closed before the end of the body. */
  readonly isComplete: boolean;
  /** Number of writes to the connection. */
  readonly writes: number;
}

async function sendAndObserve(
  t: TestContext,
  respond: (response: ServerResponse) => void,
  onHead: () => void = () => {},
): Promise<ObservedResponse> {
  let writes = 0;
  const server = createServer((_, response) => respond(response));
  server.on("connection", (socket) => countWrites(socket, () => writes += 1));
  t.after(() => server.close());
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  return await new Promise((resolve, reject) => {
    const options = { host: "127.0.0.1", port, agent: false };
    const clientRequest = request(options, (response) => {
      let text = "";
      onHead();
      response.setEncoding("utf8");
      response.on("data", (part: string) => text += part);
      response.on("error", () => {});
      response.on("close", () => {
        resolve({
          status: response.statusCode ?? 0,
          text,
          isComplete: response.complete,
          writes,
        });
      });
    });
    clientRequest.on("error", reject);
    clientRequest.end();
  });
}

function countWrites(socket: Socket, count: () => void): void {
  const writeOne = socket._write.bind(socket);
  const writeMany = socket._writev?.bind(socket);
  socket._write = (chunk, encoding, done) => {
    count();
    writeOne(chunk, encoding, done);
  };
  socket._writev = (chunks, done) => {
    count();
    writeMany?.(chunks, done);
  };
}
