import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test, type TestContext } from "node:test";
import { cutAnswer, HeldAnswer, isEndedByConnection } from "./mod.ts";

const PART = "id: 1\ndata: a\n\n";

test("A caller gets what was written before its answer was cut", async (t) => {
  const { text, error } = await readRaw(t, {
    version: "1.1",
    respond: (response) => {
      response.write(PART);
      cutAnswer(response);
    },
  });
  assert.ok(text.includes(PART));
  assert.ok(!text.endsWith("0\r\n\r\n"));
  assert.equal(error, undefined);
});

test("A cut answer whose end is marked by its connection is reset", async (t) => {
  let cut = () => {};
  const { error } = await readRaw(t, {
    version: "1.0",
    respond: (response) => {
      response.write(PART);
      cut = () => cutAnswer(response);
    },
    // Node.js reports a reset that arrives together with data as a regular end.
    onData: () => cut(),
  });
  assert.equal(error, "ECONNRESET");
});

test("A caller that reads nothing does not hold the connection of a cut answer", async (t) => {
  const closed = new Promise<void>((resolve) => {
    void readRaw(t, {
      version: "1.1",
      onData: undefined,
      respond: (response) => {
        response.socket!.once("close", () => resolve());
        response.write("x".repeat(64 * 1_048_576));
        cutAnswer(response);
      },
    });
  });
  const startedAtMs = performance.now();
  await closed;
  assert.ok(performance.now() - startedAtMs < 3_000);
});

test("An answer without a length is held for HTTP/1.0, and sent with one", async (t) => {
  const { text, error } = await readRaw(t, {
    version: "1.0",
    respond: (response) => {
      assert.ok(isEndedByConnection(response));
      const headers = { "content-type": "text/event-stream" };
      const answer = HeldAnswer.create(response, { status: 200, headers });
      for (let index = 0; index < 1_000; index++) {
        answer.write(Buffer.from(PART));
      }
      assert.ok(!response.headersSent);
      answer.end();
    },
  });
  assert.equal(error, undefined);
  assert.ok(text.includes(`content-length: ${1_000 * PART.length}\r\n`));
  assert.ok(text.endsWith(`\r\n\r\n${PART.repeat(1_000)}`));
});

test("A held answer that grows without end is cut before its head", async (t) => {
  const { text, error } = await readRaw(t, {
    version: "1.0",
    respond: (response) => {
      const answer = HeldAnswer.create(response, { status: 200, headers: {} });
      const timer = setInterval(() => answer.write(Buffer.alloc(524_288)), 1);
      response.once("close", () => clearInterval(timer));
    },
  });
  assert.equal(text, "");
  assert.equal(error, "ECONNRESET");
});

interface RawAnswer {
  readonly text: string;
  /** Code of the connection's error; `undefined` after a regular end. */
  readonly error: string | undefined;
}

/** Calls a server that answers with `respond`, and reads until the end. */
async function readRaw(
  t: TestContext,
  { version, respond, ...options }: {
    readonly version: "1.0" | "1.1";
    readonly respond: (response: ServerResponse) => void;
    /** The caller reads nothing if this is `undefined`. */
    readonly onData?: (() => void) | undefined;
  },
): Promise<RawAnswer> {
  const server = createServer((_, response) => respond(response));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  t.after(() => {
    socket.destroy();
    server.close();
  });
  socket.write(`GET / HTTP/${version}\r\nhost: a\r\n\r\n`);
  let text = "";
  const { onData } = { onData: () => {}, ...options };
  if (onData !== undefined) {
    socket.on("data", (chunk) => {
      text += String(chunk);
      onData();
    });
  }
  return new Promise((resolve) => {
    socket.on("error", (error: NodeJS.ErrnoException) => {
      resolve({ text, error: error.code });
    });
    socket.on("end", () => resolve({ text, error: undefined }));
  });
}
