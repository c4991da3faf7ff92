import assert from "node:assert/strict";
import { request } from "node:http";
import { test, type TestContext } from "node:test";
import { encodeMessage } from "@dandelionbank/attempt-codec";
import { MAX_BODY_LIMIT_BYTES } from "@dandelionbank/parse-objects";
import type { AttemptQuery } from "@dandelionbank/types";
import { initTRPC } from "@trpc/server";
import * as v from "valibot";
import { PeerServer } from "./mod.ts";

const SECRET = "secret-of-the-peers";

const QUERY: AttemptQuery = {
  kind: "question",
  agentIncarnation: "agent-1",
  attemptId: "e1.1",
  organisation: "acme",
  fingerprint: "0123456789abcdef",
};

interface Case {
  readonly name: string;
  readonly path: string;
  readonly body?: string;
  readonly secret?: string;
  readonly status: number;
  readonly reply: RegExp;
}

const CASES: readonly Case[] = [
  {
    name: "a query",
    path: "/trpc/twice?input=4",
    status: 200,
    reply: /^\{"result":\{"data":8\}\}$/,
  },
  {
    name: "a mutation",
    path: "/trpc/store",
    body: '{"text":"ä"}',
    status: 200,
    reply: /^\{"result":\{"data":"stored ä"\}\}$/,
  },
  {
    name: "an input of the wrong type",
    path: "/trpc/twice?input=%22x%22",
    status: 400,
    reply: /"code":"BAD_REQUEST"/,
  },
  {
    name: "a body that is not JSON",
    path: "/trpc/store",
    body: "{",
    status: 400,
    reply: /"code":"PARSE_ERROR"/,
  },
  {
    name: "a mutation called by GET",
    path: "/trpc/store",
    status: 404,
    reply: /"code":"NOT_FOUND"/,
  },
  {
    name: "a body over the limit",
    path: "/trpc/store",
    body: JSON.stringify({ text: "x".repeat(4 * 1024 * 1024) }),
    status: 413,
    reply: /"code":"PAYLOAD_TOO_LARGE"/,
  },
  {
    name: "a handler that throws",
    path: "/trpc/store",
    body: '{"text":"bad"}',
    status: 500,
    reply: /"code":"INTERNAL_SERVER_ERROR"/,
  },
  {
    name: "a wrong secret",
    path: "/trpc/twice?input=4",
    secret: "guessed",
    status: 401,
    reply: /^$/,
  },
];

for (const row of CASES) {
  test(`A peer's call (${row.name}) is answered with status ${row.status}`, async (t) => {
    const port = await listen(t);
    const { status, text } = await send(port, row);
    assert.equal(status, row.status);
    assert.match(text, row.reply);
  });
}

test("An attempt with the largest body is received, and no larger one", async (t) => {
  const received: number[] = [];
  const port = await listen(t, (bodyBytes) => received.push(bodyBytes));
  const call = { name: "", path: "/attempts", status: 200, reply: /^$/ };
  const body = "x".repeat(MAX_BODY_LIMIT_BYTES);
  const line = encodeMessage(QUERY);
  assert.equal((await send(port, { ...call, body: line + body })).status, 200);
  const larger = { ...call, body: `${line}${body}x` };
  assert.equal((await send(port, larger)).status, 413);
  assert.deepEqual(received, [MAX_BODY_LIMIT_BYTES]);
});

async function listen(
  t: TestContext,
  onBody: (sizeBytes: number) => void = () => {},
): Promise<number> {
  const trpc = initTRPC.create();
  const server = PeerServer.create({
    host: "127.0.0.1",
    port: 0,
    peerSecret: SECRET,
    router: trpc.router({
      twice: trpc.procedure.input(v.number()).query(({ input }) => input * 2),
      store: trpc.procedure
        .input(v.object({ text: v.string() }))
        .mutation(({ input }) => {
          if (input.text === "bad") throw new Error("Not stored");
          return `stored ${input.text}`;
        }),
    }),
    onAttempt: ({ body }, responder) => {
      onBody(body.length);
      responder.end();
    },
  });
  t.after(() => server.close());
  return await server.listen();
}

function send(
  port: number,
  { path, body, secret = SECRET }: Case,
): Promise<{ readonly status: number; readonly text: string }> {
  return new Promise((resolve, reject) => {
    const clientRequest = request({
      host: "127.0.0.1",
      port,
      path,
      agent: false,
      method: body === undefined ? "GET" : "POST",
      headers: { authorization: `Bearer ${secret}` },
    }, (response) => {
      let text = "";
      response.setEncoding("utf8");
      response.on("data", (part: string) => text += part);
      response.on("end", () => {
        resolve({ status: response.statusCode ?? 0, text });
      });
    });
    clientRequest.on("error", reject);
    clientRequest.end(body);
  });
}
