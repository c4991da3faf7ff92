import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { HttpPool } from "./mod.ts";

const BODY = "whole";
const FIELDS = "x-a: b\r\nx-c: d\r\n";
const LENGTH = `content-length: ${BODY.length}\r\n`;
const CHUNKED = "transfer-encoding: chunked\r\n";
const CLOSING = "connection: close\r\n";

/** Heads of answers with a body, and their end. */
const HEADS: Readonly<Record<string, string>> = {
  "a length": `HTTP/1.1 200 OK\r\n${FIELDS}${LENGTH}\r\n`,
  "a length first": `HTTP/1.1 200 OK\r\n${LENGTH}${FIELDS}\r\n`,
  "a length and a close": `HTTP/1.1 200 OK\r\n${CLOSING}${FIELDS}${LENGTH}\r\n`,
  "chunks": `HTTP/1.1 200 OK\r\n${CHUNKED}${FIELDS}\r\n`,
  "neither length nor chunks": `HTTP/1.1 200 OK\r\n${FIELDS}\r\n`,
  "a close": `HTTP/1.1 200 OK\r\n${CLOSING}${FIELDS}\r\n`,
  "HTTP/1.0": `HTTP/1.0 200 OK\r\n${FIELDS}\r\n`,
  "line feeds alone": `HTTP/1.1 200 OK\n${CLOSING}${FIELDS}\n`
    .replaceAll("\r", ""),
  "an interim head": `HTTP/1.1 103 Early\r\n${CLOSING}\r\n` +
    `HTTP/1.1 200 OK\r\n${FIELDS}${LENGTH}\r\n`,
  "no body": `HTTP/1.1 204 None\r\n${CLOSING}${FIELDS}\r\n`,
};

/** Ways in which a peer ends its connection. */
const ENDS: Readonly<Record<string, (socket: Socket, bytes: string) => void>> =
  {
    closed: (socket, bytes) => socket.end(bytes),
    reset: (socket, bytes) =>
      socket.write(bytes, () => socket.resetAndDestroy()),
  };

for (const [name, head] of Object.entries(HEADS)) {
  for (const [end, endSocket] of Object.entries(ENDS)) {
    // Guards against an empty or short answer that looks whole.
    test(`A head with ${name} that is cut anywhere, and ${end}, is no answer`, async (t) => {
      const pool = await createPool(t, (path, socket) => {
        const cutAt = Number(path.slice("/cut/".length));
        if (path === "/first") {
          socket.write(`HTTP/1.1 200 OK\r\n${LENGTH}\r\n${BODY}`);
        } else endSocket(socket, head.slice(0, cutAt));
      });
      for (let cutAt = 0; cutAt < head.length; cutAt++) {
        // The next answer comes on a connection that is kept.
        assert.equal(await receive(pool, "/first"), "complete");
        const result = await receive(pool, `/cut/${cutAt}`);
        assert.equal(result, "failed", head.slice(0, cutAt));
      }
    });
  }
}

async function createPool(
  t: TestContext,
  serve: (path: string, socket: Socket) => void,
): Promise<HttpPool> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("data", (bytes) => {
      const [, path = ""] = bytes.toString("latin1").split(" ");
      serve(path, socket);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const pool = HttpPool.create({
    origin: `http://127.0.0.1:${port}`,
    connections: 1,
  });
  t.after(async () => {
    await pool.close();
    server.close();
  });
  return pool;
}

function receive(
  pool: HttpPool,
  path: string,
): Promise<"complete" | "failed"> {
  return new Promise((resolve) => {
    pool.send({ method: "GET", path, headers: {} }, {
      onHead: () => undefined,
      onData: () => undefined,
      onEnd: () => resolve("complete"),
      onError: () => resolve("failed"),
    });
  });
}
