/**
 * Answers whose status is below 100. None is an answer, and none may be taken for an
 * interim head, behind which bytes of another answer would count as the request's.
 */

import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { fetchAnswer, HttpPool } from "./mod.ts";

const SOUND = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nsound";
const HEAD = "HTTP/1.1 000 Status\r\n";

const FORMS: Readonly<Record<string, string>> = {
  "without a length": `${HEAD}\r\n`,
  "with an empty body": `${HEAD}content-length: 0\r\n\r\n`,
  "with a body": `${HEAD}content-length: 2\r\n\r\nab`,
  "in chunks": `${HEAD}transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n`,
  "to close": `${HEAD}connection: close\r\n\r\nab`,
  "without a reason": "HTTP/1.1 000\r\n\r\n",
  "of HTTP/1.0": "HTTP/1.0 000 Status\r\n\r\n",
  "of 001": `HTTP/1.1 001 Status\r\n\r\n${SOUND}`,
  "of 099": `HTTP/1.1 099 Status\r\n\r\n${SOUND}`,
  "before a sound answer": `${HEAD}\r\n${SOUND}`,
  "with a sound answer as its body":
    `${HEAD}content-length: ${SOUND.length}\r\n\r\n${SOUND}`,
  "twice before a sound answer": `${HEAD}\r\n${HEAD}\r\n${SOUND}`,
  "behind an interim head":
    `HTTP/1.1 102 Processing\r\n\r\n${HEAD}\r\n${SOUND}`,
};

for (const [name, text] of Object.entries(FORMS)) {
  test(`A status below 100 ends the request and its connection: ${name}`, async (t) => {
    for (const method of ["GET", "POST", "HEAD"]) {
      const { origin, readConnections } = await startPeer(t, text);
      const pool = HttpPool.create({ origin });
      t.after(() => pool.close());
      const request = { method, path: "/", headers: {} };
      const options = { timeoutMs: 2_000 };
      await assert.rejects(
        fetchAnswer(pool, request, options),
        /^Error: Answer with the invalid status 0\d\d$/,
      );
      const next = await fetchAnswer(pool, request, options);
      assert.equal(next.status, 200);
      const [first, second] = readConnections();
      assert.notEqual(first, second);
    }
  });
}

/** Answers the first request by `first`, and the next ones soundly. */
async function startPeer(t: TestContext, first: string) {
  const requests: Socket[] = [];
  const server = createServer((socket) => {
    t.after(() => socket.destroy());
    // The pool resets the connection.
    socket.on("error", () => undefined);
    socket.on("data", () => {
      requests.push(socket);
      socket.write(requests.length === 1 ? first : SOUND);
    });
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  return {
    origin: `http://127.0.0.1:${port}`,
    /** The connection of each request. */
    readConnections: (): readonly Socket[] => requests,
  };
}
