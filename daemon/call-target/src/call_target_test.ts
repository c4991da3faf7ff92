import type { TargetKind } from "@dandelionbank/types";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type RequestListener, type Server } from "node:http";
import {
  type AddressInfo,
  createServer as createNetServer,
  type Socket,
} from "node:net";
import { test, type TestContext } from "node:test";
import { createTargetAdapter } from "./mod.ts";
import type {
  TargetAdapter,
  TargetFailure,
  TargetHead,
} from "./target_adapter.ts";

interface Case {
  readonly name: string;
  readonly kind: TargetKind;
  readonly answer: RequestListener;
  readonly result: "complete" | TargetFailure;
  readonly body?: string;
}

const LOST: TargetFailure = {
  code: "TARGET_CONNECTION_LOST",
  mayHaveRun: true,
};
const STREAM_CUT: TargetFailure = {
  code: "TARGET_STREAM_CUT",
  mayHaveRun: true,
};
const CASES: readonly Case[] = [
  {
    name: "complete body",
    kind: "plain",
    answer: (_, response) => response.end("reel 7"),
    result: "complete",
    body: "reel 7",
  },
  {
    name: "connection closed before the answer",
    kind: "plain",
    answer: (request) => request.socket.destroy(),
    result: LOST,
  },
  {
    name: "body shorter than its content length",
    kind: "plain",
    answer: (request, response) => {
      response.writeHead(200, { "content-length": "10" });
      response.write("12345", () => request.socket.destroy());
    },
    result: LOST,
  },
  {
    name: "chunked body without its final chunk",
    kind: "engine",
    answer: (request, response) => {
      response.write("12345", () => request.socket.destroy());
    },
    result: LOST,
  },
  {
    name: "connection closed behind a head without a length",
    kind: "plain",
    answer: (request) =>
      request.socket.end("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n"),
    result: LOST,
  },
  {
    name: "connection closed inside a head",
    kind: "plain",
    answer: (request) =>
      request.socket.end("HTTP/1.1 200 OK\r\nconnection: close\r\n"),
    result: LOST,
  },
  {
    name: "answer that never has a body",
    kind: "plain",
    answer: (request) =>
      request.socket.end("HTTP/1.1 204 None\r\nconnection: close\r\n\r\n"),
    result: "complete",
    body: "",
  },
  {
    name: "complete stream",
    kind: "engine",
    answer: (_, response) => {
      response.writeHead(200, { "content-type": "text/event-stream" });
      response.write("data: a\n\ndata: [DO");
      response.end("NE]\n\n");
    },
    result: "complete",
    body: "data: a\n\ndata: [DONE]\n\n",
  },
  {
    name: "stream that ends without its final event",
    kind: "rank",
    answer: (_, response) => {
      response.writeHead(200, { "content-type": "text/event-stream" });
      response.end("data: a\n\n");
    },
    result: STREAM_CUT,
  },
  {
    name: "stream that ends inside its final event",
    kind: "engine",
    answer: (_, response) => {
      response.writeHead(200, { "content-type": "text/event-stream" });
      response.end("data: a\n\ndata: [DONE]\n");
    },
    result: STREAM_CUT,
  },
  {
    name: "stream that ends inside an event whose text names the final one",
    kind: "engine",
    answer: (_, response) => {
      response.writeHead(200, { "content-type": "text/event-stream" });
      response.end("data: a\n\ndata: then data: [DONE] foll");
    },
    result: STREAM_CUT,
  },
  {
    name: "stream that ends inside an event",
    kind: "plain",
    answer: (_, response) => {
      response.writeHead(200, { "content-type": "text/event-stream" });
      response.end("data: a\n\ndata: ha");
    },
    result: STREAM_CUT,
  },
  {
    name: "answer without end",
    kind: "plain",
    answer: (_, response) => {
      const chunk = Buffer.alloc(1_048_576);
      const send = () => {
        while (!response.destroyed && response.write(chunk));
      };
      response.on("drain", send);
      send();
    },
    result: { code: "TARGET_ANSWER_TOO_LONG", mayHaveRun: true },
  },
  {
    name: "stream that ends after an event",
    kind: "plain",
    answer: (_, response) => {
      response.writeHead(200, { "content-type": "text/event-stream" });
      response.end("data: a\r\n\r\n");
    },
    result: "complete",
  },
];

for (const testCase of CASES) {
  test(`A ${testCase.kind} target: ${testCase.name}`, async () => {
    const server = await listen(testCase.answer);
    const call = await callOnce(testCase.kind, formatUrl(server));
    server.close();
    assert.deepEqual(call.result, testCase.result);
    if (testCase.body !== undefined) assert.equal(call.body, testCase.body);
  });
}

test("A target that refuses the connection cannot have run the call", async () => {
  const server = await listen((_, response) => response.end());
  const url = formatUrl(server);
  await new Promise((resolve) => server.close(resolve));
  const call = await callOnce("plain", url);
  assert.deepEqual(call.result, {
    code: "TARGET_UNREACHABLE",
    mayHaveRun: false,
  });
});

test("The time to return is read from refusals for load only", async () => {
  for (const [status, expected] of [[503, "2"], [429, "2"], [200, undefined]]) {
    const server = await listen((_, response) => {
      response.writeHead(Number(status), { "retry-after": "2" }).end();
    });
    const { head } = await callOnce("plain", formatUrl(server));
    server.close();
    assert.equal(head?.retryAfter, expected);
  }
});

// Guards against an agent that ends by its memory, since it keeps an answer piece
// by piece: 8 MB in single bytes took 265 MB.
test("An answer in chunks of one byte reaches an agent in few pieces", async (t) => {
  const sizeBytes = 20_000;
  const adapter = await createRawAdapter(t, (socket) => {
    socket.once("data", () => {
      const head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
      socket.write(`${head}${"1\r\nx\r\n".repeat(sizeBytes)}0\r\n\r\n`);
    });
  });
  const { body, pieceCount } = await callWith(adapter);
  assert.equal(body, "x".repeat(sizeBytes));
  assert.ok(pieceCount < 200, `${pieceCount} pieces`);
});

test("A late second answer of a target is no answer to the next call", async (t) => {
  for (const gapMs of [0, 1, 5]) {
    const answers = await callStuttering(t, gapMs);
    assert.deepEqual(answers, answers.map((_, index) => `answer ${index}`));
  }
});

/** Calls a target that answers each call again when the next one arrives. */
async function callStuttering(
  t: TestContext,
  gapMs: number,
): Promise<readonly string[]> {
  let count = 0;
  const adapter = await createRawAdapter(t, (socket) => {
    let late = "";
    socket.on("data", () => {
      const text = `answer ${count}`;
      const bytes =
        `HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
      count += 1;
      socket.write(late);
      late = bytes;
      setTimeout(() => socket.write(bytes), gapMs);
    });
  });
  const answers: string[] = [];
  for (let index = 0; index < 8; index++) {
    answers.push((await callWith(adapter)).body);
  }
  return answers;
}

/** Creates an adapter for a plain target that writes the bytes of its answers. */
async function createRawAdapter(
  t: TestContext,
  serve: (socket: Socket) => void,
): Promise<TargetAdapter> {
  const server = createNetServer((socket) => {
    socket.on("error", () => undefined);
    serve(socket);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const adapter = createTargetAdapter("plain", {
    targetUrl: `http://127.0.0.1:${port}`,
  });
  t.after(() => adapter.close());
  return adapter;
}

interface CallResult {
  readonly head: TargetHead | undefined;
  readonly result: "complete" | TargetFailure;
  readonly body: string;
  readonly pieceCount: number;
}

async function callOnce(
  kind: TargetKind,
  targetUrl: string,
): Promise<CallResult> {
  const adapter = createTargetAdapter(kind, { targetUrl });
  const call = await callWith(adapter);
  await adapter.close();
  return call;
}

function callWith(adapter: TargetAdapter): Promise<CallResult> {
  return new Promise<CallResult>((resolve) => {
    const chunks: Buffer[] = [];
    let head: TargetHead | undefined;
    const readBody = () => ({
      body: Buffer.concat(chunks).toString("utf8"),
      pieceCount: chunks.length,
    });
    adapter.call(
      {
        method: "POST",
        path: "/",
        contentType: "application/json",
        priority: 5,
        body: Buffer.from("{}"),
      },
      {
        onHead: (answerHead) => {
          head = answerHead;
        },
        onData: (chunk) => {
          chunks.push(chunk);
        },
        onEnd: () => resolve({ head, result: "complete", ...readBody() }),
        onFailure: (failure) =>
          resolve({ head, result: failure, ...readBody() }),
      },
    );
  });
}

function listen(answer: RequestListener): Promise<Server> {
  const server = createServer(answer);
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve(server))
  );
}

function formatUrl(server: Server): string {
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}
