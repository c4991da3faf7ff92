import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type RequestListener, type Server } from "node:http";
import {
  type AddressInfo,
  createServer as createNetServer,
  type Server as NetServer,
  type Socket,
} from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  fetchAnswer,
  type HttpConnector,
  HttpPool,
  TransferMeter,
} from "./mod.ts";

/** More than what one read takes from a connection. */
const PAUSED_BYTES = 300_000;

interface Failure {
  readonly code: string | undefined;
  readonly wasSent: boolean;
}

test("A refused connection proves that nothing was sent", async () => {
  const server = await listen((_, response) => response.end());
  const origin = urlOf(server);
  await new Promise((resolve) => server.close(resolve));
  const failure = await sendAndFail(HttpPool.create({ origin }));
  assert.deepEqual(failure, { code: "ECONNREFUSED", wasSent: false });
});

test("A connection that fails after the request was written counts as sent", async (t) => {
  for (const code of ["ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH"]) {
    const server = await listen((request) => request.socket.pause());
    t.after(() => server.closeAllConnections());
    t.after(() => server.close());
    const pool = HttpPool.create({
      origin: urlOf(server),
      connector: await createFailingConnector(server, code),
    });
    assert.deepEqual(await sendAndFail(pool), { code, wasSent: true });
  }
});

test("The error of a request that times out names the timeout", async (t) => {
  const server = await listen(() => {});
  t.after(() => server.closeAllConnections());
  t.after(() => server.close());
  const pool = HttpPool.create({ origin: urlOf(server) });
  const request = { method: "GET", path: "/", headers: {} };
  await assert.rejects(
    fetchAnswer(pool, request, { timeoutMs: 30 }),
    /No answer from .* in 30 ms/,
  );
});

test("A cancelled request resets its connection, so that bytes in flight are dropped", async (t) => {
  const peer = await acceptConnections(t);
  const pool = HttpPool.create({ origin: peer.origin });
  const ignored = () => {};
  const handle = pool.send({ method: "POST", path: "/", headers: {} }, {
    onHead: ignored,
    onData: ignored,
    onEnd: ignored,
    onError: ignored,
  });
  const [socket] = await once(peer.server, "connection") as [Socket];
  await once(socket, "data");
  handle.cancel();
  assert.equal(await readEnd(socket), "ECONNRESET");
});

test("A call that times out resets its connection", async (t) => {
  const peer = await acceptConnections(t);
  const pool = HttpPool.create({ origin: peer.origin });
  const request = { method: "GET", path: "/", headers: {} };
  const [[socket]] = await Promise.all([
    once(peer.server, "connection") as Promise<[Socket]>,
    assert.rejects(fetchAnswer(pool, request, { timeoutMs: 30 })),
  ]);
  assert.equal(await readEnd(socket), "ECONNRESET");
});

test("The meter tells a body in small pieces from one in large pieces", async (t) => {
  const server = createNetServer((socket) => {
    const pieces = "1\r\nx\r\n".repeat(100);
    socket.on("data", () =>
      socket.end(
        `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${pieces}0\r\n\r\n`,
      ));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const meter = TransferMeter.create();
  const pool = HttpPool.create({ origin: urlOf(server), meter });
  const request = { method: "GET", path: "/", headers: {} };
  const { body } = await fetchAnswer(pool, request, { timeoutMs: 5_000 });
  assert.equal(body.length, 100);
  assert.equal(meter.bodyBytes, 100);
  assert.equal(meter.bodyPieces, 100);
  assert.ok(meter.receivedBytes > 600, `${meter.receivedBytes}`);
  await pool.close();
});

test("A buffered answer without end is given up before it fills the memory", async (t) => {
  const chunk = Buffer.alloc(1_048_576);
  const server = await listen((_, response) => {
    const send = () => {
      while (!response.destroyed && response.write(chunk));
    };
    response.on("drain", send);
    send();
  });
  t.after(() => server.close());
  const pool = HttpPool.create({ origin: urlOf(server) });
  const request = { method: "GET", path: "/", headers: {} };
  await assert.rejects(
    fetchAnswer(pool, request, { timeoutMs: 5_000 }),
    /more than 16777216 bytes/,
  );
  await pool.close();
});

const OWN_HEAD = "HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n";

for (const part of ["HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\ndate: Thu, 01"]) {
  test(`A head that begins with a part of another answer's is none: ${JSON.stringify(part)}`, async (t) => {
    const peer = await acceptConnections(t);
    peer.server.on(
      "connection",
      (socket: Socket) =>
        socket.once("data", () => socket.write(part + OWN_HEAD)),
    );
    const failure = await sendAndFail(HttpPool.create({ origin: peer.origin }));
    assert.deepEqual(failure, { code: undefined, wasSent: true });
  });
}

test("A field that names a protocol is no part of another answer", async (t) => {
  const fields = { via: "HTTP/1.1 127.0.0.1", date: "Thu, 01" };
  const server = await listen((_, response) => {
    response.writeHead(200, fields).end();
  });
  t.after(() => server.close());
  const pool = HttpPool.create({ origin: urlOf(server) });
  t.after(() => pool.close());
  const request = { method: "GET", path: "/", headers: {} };
  const { status } = await fetchAnswer(pool, request, { timeoutMs: 1_000 });
  assert.equal(status, 200);
});

interface PausedEnd {
  readonly name: string;
  readonly fields: string;
  readonly end: "closed" | "reset";
  readonly isComplete: boolean;
}

const CLOSE = "connection: close\r\n";
const WHOLE_LENGTH = `${CLOSE}content-length: ${PAUSED_BYTES}\r\n`;
const LONGER_LENGTH = `${CLOSE}content-length: ${PAUSED_BYTES + 1}\r\n`;
const CHUNKED = `${CLOSE}transfer-encoding: chunked\r\n`;
/** Ends of answers whose connection is not to be kept. */
const PAUSED_ENDS: readonly PausedEnd[] = [
  { name: "no length", fields: "", end: "closed", isComplete: true },
  { name: "no length", fields: "", end: "reset", isComplete: false },
  { name: "length", fields: WHOLE_LENGTH, end: "closed", isComplete: true },
  { name: "length", fields: LONGER_LENGTH, end: "closed", isComplete: false },
  { name: "length", fields: LONGER_LENGTH, end: "reset", isComplete: false },
  { name: "last chunk", fields: CHUNKED, end: "closed", isComplete: false },
  { name: "last chunk", fields: CHUNKED, end: "reset", isComplete: false },
];

for (const { name, fields, end, isComplete } of PAUSED_ENDS) {
  const result = isComplete ? "complete" : "incomplete";
  test(`A connection that is ${end} while its answer is paused ends only that answer: ${name}, ${result}`, async (t) => {
    const peer = await acceptConnections(t);
    const pool = HttpPool.create({ origin: peer.origin });
    t.after(() => pool.close());
    peer.server.on("connection", (socket: Socket) =>
      socket.once("data", () => {
        socket.write(`HTTP/1.1 200 OK\r\n${fields}\r\n`);
        if (fields === CHUNKED) socket.write("ffffff\r\n");
        socket.write("x".repeat(PAUSED_BYTES));
        if (end === "closed") socket.end();
        else setTimeout(() => socket.resetAndDestroy(), 60);
      }));
    const read = await readSlowly(pool);
    assert.equal(read.isComplete, isComplete);
    if (end === "closed") assert.equal(read.bytes, PAUSED_BYTES);
  });
}

test("A connection is read again after an answer that ended while it was paused", async (t) => {
  let connections = 0;
  const server = await listen((_, response) => response.end("whole"));
  server.on("connection", () => connections += 1);
  t.after(() => server.close());
  const pool = HttpPool.create({ origin: urlOf(server), connections: 1 });
  t.after(() => pool.close());
  for (let index = 0; index < 3; index++) {
    const read = await readSlowly(pool, { isResumed: false });
    assert.deepEqual(read, { bytes: 5, isComplete: true });
  }
  assert.equal(connections, 1);
});

/** Reads an answer and pauses for some milliseconds after each of its pieces. */
function readSlowly(
  pool: HttpPool,
  { isResumed = true }: { readonly isResumed?: boolean } = {},
): Promise<{ readonly bytes: number; readonly isComplete: boolean }> {
  return new Promise((resolve) => {
    let bytes = 0;
    const handle = pool.send({ method: "GET", path: "/", headers: {} }, {
      onHead: () => {},
      onData: (chunk) => {
        bytes += chunk.length;
        handle.pause();
        if (isResumed) setTimeout(() => handle.resume(), 20);
      },
      onEnd: () => resolve({ bytes, isComplete: true }),
      onError: () => resolve({ bytes, isComplete: false }),
    });
  });
}

async function sendAndFail(pool: HttpPool): Promise<Failure> {
  const failure = await new Promise<Failure>((resolve) =>
    pool.send({ method: "POST", path: "/", headers: {}, body: "x" }, {
      onHead: () => {},
      onData: () => {},
      onEnd: () => resolve({ code: "none", wasSent: true }),
      onError: (error, wasSent) =>
        resolve({ code: (error as NodeJS.ErrnoException).code, wasSent }),
    })
  );
  await pool.close();
  return failure;
}

/** Creates connections that fail with `code`, as in the kernel, once written to. */
async function createFailingConnector(
  server: Server,
  code: string,
): Promise<HttpConnector> {
  const { connect } = await import("node:net");
  return (_options, callback) => {
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    socket.once("connect", () => callback(null, socket));
    server.once(
      "request",
      () =>
        socket.destroy(
          Object.assign(new Error("read"), { code, syscall: "read" }),
        ),
    );
    return socket;
  };
}

const FIELD = "x-filler: 0123456789\r\n";
/** A name of one byte without a value: the parser keeps two objects for it. */
const EMPTY_FIELD = "a:\r\n";
const TRAILERS = `${CHUNKED}\r\n0\r\n`;

// Guards against heads without end that take the time and memory of their fields:
// 64 KiB of empty fields are 32,768 objects, and each field beyond the parser's
// limit is another error.
for (
  const { name, start = "", field, mostBytes } of [
    { name: "empty fields", field: EMPTY_FIELD, mostBytes: 4_096 },
    { name: "fields", field: FIELD, mostBytes: 32_768 },
    {
      name: "empty trailers",
      start: TRAILERS,
      field: EMPTY_FIELD,
      mostBytes: 8_192,
    },
    { name: "trailers", start: TRAILERS, field: FIELD, mostBytes: 32_768 },
  ]
) {
  test(`A connection with ${name} without end is read to little more than the longest head`, async (t) => {
    const peer = await acceptConnections(t);
    const meter = TransferMeter.create();
    const pool = HttpPool.create({ origin: peer.origin, meter });
    t.after(() => pool.close());
    peer.server.on(
      "connection",
      (socket: Socket) =>
        socket.on("error", () => undefined).once("data", () => {
          socket.write(`HTTP/1.1 200 OK\r\n${start}${field.repeat(50_000)}`);
        }),
    );
    const { isComplete } = await readSlowly(pool);
    assert.ok(!isComplete);
    assert.ok(meter.receivedBytes <= mostBytes, `${meter.receivedBytes} bytes`);
  });
}

test("A head near the parser's limit is read, however it arrives", async (t) => {
  const peer = await acceptConnections(t);
  const pool = HttpPool.create({ origin: peer.origin });
  t.after(() => pool.close());
  const head = `HTTP/1.1 200 OK\r\n${
    "x-filler: 0123456789012345678901234567\r\n".repeat(400)
  }content-length: 5\r\n\r\nwhole`;
  peer.server.on(
    "connection",
    (socket: Socket) =>
      socket.setNoDelay(true).once("data", async () => {
        for (let at = 0; at < head.length; at += 1_000) {
          socket.write(head.slice(at, at + 1_000));
          await delay(1);
        }
      }),
  );
  assert.deepEqual(await readSlowly(pool), { bytes: 5, isComplete: true });
});

/** Starts a server that accepts connections and never answers. */
async function acceptConnections(
  t: TestContext,
): Promise<{ readonly server: NetServer; readonly origin: string }> {
  const server = createNetServer();
  server.on("connection", (socket) => t.after(() => socket.destroy()));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  return { server, origin: `http://127.0.0.1:${port}` };
}

/** Reads until the connection ends; returns the error's code if it failed. */
function readEnd(socket: Socket): Promise<string | undefined> {
  return new Promise((resolve) => {
    socket.on("error", ({ code }: NodeJS.ErrnoException) => resolve(code));
    socket.on("end", () => resolve(undefined));
    socket.resume();
  });
}

function listen(answer: RequestListener): Promise<Server> {
  const server = createServer(answer);
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve(server))
  );
}

function urlOf(server: NetServer): string {
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}
