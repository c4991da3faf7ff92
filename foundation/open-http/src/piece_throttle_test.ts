import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { fetchAnswer, HttpPool, PieceThrottle } from "./mod.ts";

const HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const CHUNK = "1\r\nx\r\n";
const GET = { method: "GET", path: "/", headers: {} };
const TIMEOUT_MS = 10_000;
/** Enough that the responses wait for several turns. */
const CHUNK_COUNT = 20_000;

// Guards against a peer that takes all processor time by chunks of one byte.
test("Floods of small pieces leave the time of the process to others", async (t) => {
  const origin = await listen(t, (socket) => {
    const flood = Buffer.from(CHUNK.repeat(10_000));
    const send = () => {
      while (!socket.destroyed && socket.write(flood));
    };
    socket.on("drain", send);
    socket.write(HEAD);
    send();
  });
  const pool = HttpPool.create({ origin, throttle: PieceThrottle.create() });
  t.after(() => pool.close().catch(() => undefined));
  let pieces = 0;
  const running = Array.from({ length: 10 }, () =>
    pool.send(GET, {
      onHead: () => undefined,
      onData: () => pieces += 1,
      onEnd: () => undefined,
      onError: () => undefined,
    }));
  await delay(500);
  for (const handle of running) handle.cancel();
  // A tenth of the time, at a microsecond a piece, and what each may receive.
  const mostPieces = 500 * 205 + 10 * (256 + 500);
  assert.ok(pieces > 10 * 256, `${pieces} pieces`);
  assert.ok(pieces <= mostPieces * 1.2, `${pieces} pieces`);
});

test("Responses in small pieces arrive whole while they take turns", async (t) => {
  const origin = await listen(t, (socket) => {
    socket.write(`${HEAD}${CHUNK.repeat(CHUNK_COUNT)}0\r\n\r\n`);
  });
  const pool = HttpPool.create({ origin, throttle: PieceThrottle.create() });
  t.after(() => pool.close());
  const answers = await Promise.all(
    Array.from(
      { length: 5 },
      () => fetchAnswer(pool, GET, { timeoutMs: TIMEOUT_MS }),
    ),
  );
  for (const { body } of answers) assert.equal(body.length, CHUNK_COUNT);
});

test("A response that is paused by its handler stays paused when its turn comes", async (t) => {
  const origin = await listen(t, (socket) => {
    socket.write(`${HEAD}${CHUNK.repeat(CHUNK_COUNT)}0\r\n\r\n`);
  });
  const pool = HttpPool.create({ origin, throttle: PieceThrottle.create() });
  t.after(() => pool.close());
  let pieces = 0;
  const ended = withResolvers();
  const running = pool.send(GET, {
    onHead: () => undefined,
    onData: () => {
      pieces += 1;
      if (pieces === 100) running.pause();
    },
    onEnd: () => ended.resolve(),
    onError: (error) => ended.reject(error),
  });
  await delay(100);
  // What had been read at once is still delivered.
  const delivered = pieces;
  assert.ok(delivered < CHUNK_COUNT / 4, `${delivered} pieces`);
  await delay(100);
  assert.equal(pieces, delivered);
  running.resume();
  await ended.promise;
  assert.equal(pieces, CHUNK_COUNT);
});

// Guards against a fast stream that is held up by the turns of others.
test("A response within its own rate is never held while others take turns", async () => {
  const throttle = PieceThrottle.create();
  const flood = () => {
    const allowance = throttle.createAllowance({
      hold: () => undefined,
      release: () => send(),
    });
    const send = () => {
      for (let index = 0; index < 1_000; index++) allowance.recordPiece(1);
    };
    send();
    return allowance;
  };
  const floods = Array.from({ length: 20 }, flood);
  let holds = 0;
  const stream = throttle.createAllowance({
    hold: () => holds += 1,
    release: () => undefined,
  });
  for (let round = 0; round < 5; round++) {
    for (let index = 0; index < 100; index++) stream.recordPiece(1);
    await delay(150);
  }
  for (const allowance of [...floods, stream]) allowance.end();
  assert.equal(holds, 0);
});

function withResolvers() {
  let resolve = () => {};
  let reject: (error: Error) => void = () => {};
  const promise = new Promise<void>((...settlers) => {
    [resolve, reject] = settlers;
  });
  return { promise, resolve, reject };
}

async function listen(
  t: TestContext,
  answer: (socket: Socket) => void,
): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("data", () => answer(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}
