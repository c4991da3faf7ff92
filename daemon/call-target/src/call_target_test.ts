import type { TargetKind } from "@dandelionbank/types";
import assert from "node:assert/strict";
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { createTargetAdapter } from "./mod.ts";
import type { TargetFailure } from "./target_adapter.ts";

interface Case {
  readonly name: string;
  readonly kind: TargetKind;
  readonly answer: RequestListener;
  readonly ends: "whole" | TargetFailure;
  readonly body?: string;
}

const LOST: TargetFailure = {
  code: "TARGET_CONNECTION_LOST",
  mayHaveRun: true,
};
const CASES: readonly Case[] = [
  {
    name: "whole body",
    kind: "plain",
    answer: (_, response) => response.end("reel 7"),
    ends: "whole",
    body: "reel 7",
  },
  {
    name: "connection cut before the answer",
    kind: "plain",
    answer: (request) => request.socket.destroy(),
    ends: LOST,
  },
  {
    name: "body shorter than its length",
    kind: "plain",
    answer: (request, response) => {
      response.writeHead(200, { "content-length": "10" });
      response.write("12345", () => request.socket.destroy());
    },
    ends: LOST,
  },
  {
    name: "chunked body without its last chunk",
    kind: "engine",
    answer: (request, response) => {
      response.write("12345", () => request.socket.destroy());
    },
    ends: LOST,
  },
  {
    name: "whole stream",
    kind: "engine",
    answer: (_, response) => {
      response.writeHead(200, { "content-type": "text/event-stream" });
      response.write("data: a\n\ndata: [DO");
      response.end("NE]\n\n");
    },
    ends: "whole",
    body: "data: a\n\ndata: [DONE]\n\n",
  },
  {
    name: "stream that ends without its closing event",
    kind: "rank",
    answer: (_, response) => {
      response.writeHead(200, { "content-type": "text/event-stream" });
      response.end("data: a\n\n");
    },
    ends: { code: "TARGET_STREAM_CUT", mayHaveRun: true },
  },
];

for (const each of CASES) {
  test(`A ${each.kind} target: ${each.name}`, async () => {
    const server = await listen(each.answer);
    const ended = await callOnce(each.kind, urlOf(server));
    server.close();
    assert.deepEqual(ended.result, each.ends);
    if (each.body !== undefined) assert.equal(ended.body, each.body);
  });
}

test("A target that refuses the connection cannot have run the call", async () => {
  const server = await listen((_, response) => response.end());
  const url = urlOf(server);
  await new Promise((resolve) => server.close(resolve));
  const ended = await callOnce("plain", url);
  assert.deepEqual(ended.result, {
    code: "TARGET_UNREACHABLE",
    mayHaveRun: false,
  });
});

interface Ended {
  readonly result: "whole" | TargetFailure;
  readonly body: string;
}

async function callOnce(kind: TargetKind, targetUrl: string): Promise<Ended> {
  const adapter = createTargetAdapter(kind, { targetUrl });
  const ended = await new Promise<Ended>((resolve) => {
    const chunks: Buffer[] = [];
    const body = (): string => Buffer.concat(chunks).toString("utf8");
    adapter.call(
      {
        method: "POST",
        path: "/",
        contentType: "application/json",
        priority: 5,
        body: Buffer.from("{}"),
      },
      {
        onHead: () => {},
        onData: (chunk) => {
          chunks.push(chunk);
        },
        onEnd: () => resolve({ result: "whole", body: body() }),
        onFailure: (failure) => resolve({ result: failure, body: body() }),
      },
    );
  });
  await adapter.close();
  return ended;
}

function listen(answer: RequestListener): Promise<Server> {
  const server = createServer(answer);
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve(server))
  );
}

function urlOf(server: Server): string {
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}
