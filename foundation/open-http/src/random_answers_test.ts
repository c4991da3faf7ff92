/**
 * Random answers over raw connections: by length, in chunks and up to the end of
 * the connection; whole, cut and reset; with handlers that pause and cancel.
 * Guards against reads that lose, repeat or never deliver bytes, and against
 * bounds that close connections of sound answers.
 */

import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { HttpPool, PieceThrottle } from "./mod.ts";

const SEED = 1;
const ANSWER_COUNT = 400;
const CONCURRENCY = 60;
const POOL_COUNT = 4;
/** A connection that delivers nothing for this long is stuck. */
const STALL_MS = 15_000;
const ENDS = ["whole", "whole", "whole", "whole", "cut", "reset"] as const;
const FRAMINGS = ["length", "chunked", "chunked", "connection"] as const;
const CHUNK_SIZES = [1, 3, 50, 255, 256, 5_000, 100_000];
const MAX_CHUNKS = 8_000;
/** Bytes that the peer writes at once. */
const WRITE_BYTES = 30_000;

interface Plan {
  readonly framing: "length" | "chunked" | "connection";
  readonly end: "whole" | "cut" | "reset";
  readonly isKept: boolean;
  readonly body: Buffer;
  readonly sentBytes: number;
  readonly maxChunkBytes: number;
  /** Share of pieces after which the handler pauses, and for how long. */
  readonly pauseRatio: number;
  readonly maxPauseMs: number;
  /** Bytes after which the handler cancels. */
  readonly cancelAfterBytes: number;
  readonly random: () => number;
}

interface Result {
  readonly kind: "complete" | "failed" | "stalled";
  readonly body: Buffer;
}

test(`Random answers arrive whole, or fail with a part of their bytes (seed ${SEED})`, async (t) => {
  const plans = Array.from({ length: ANSWER_COUNT }, (_, id) => createPlan(id));
  const origin = await serve(t, plans);
  const throttle = PieceThrottle.create();
  const pools = Array.from(
    { length: POOL_COUNT },
    () => HttpPool.create({ origin, throttle, connections: 12 }),
  );
  t.after(() => Promise.all(pools.map((pool) => pool.close())));
  let next = 0;
  const check = async () => {
    while (next < ANSWER_COUNT) {
      const id = next++;
      const plan = plans[id]!;
      const pool = pools[id % POOL_COUNT]!;
      checkResult(await receive(pool, `/${id}`, plan), { id, plan });
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, check));
});

function checkResult(
  { kind, body }: Result,
  { id, plan }: { readonly id: number; readonly plan: Plan },
): void {
  const { framing, end, sentBytes, cancelAfterBytes } = plan;
  const text = `answer ${id}, ${framing}, ${end}: ${kind} with ${body.length}`;
  assert.notEqual(kind, "stalled", text);
  assert.ok(plan.body.subarray(0, body.length).equals(body), text);
  if (kind === "failed") {
    const isCancelled = body.length > cancelAfterBytes;
    assert.ok(end !== "whole" || isCancelled, text);
    return;
  }
  // An answer up to the end of its connection looks whole if that is closed.
  const mayBeCut = framing === "connection" && end === "cut";
  assert.equal(body.length, mayBeCut ? sentBytes : plan.body.length, text);
}

function receive(pool: HttpPool, path: string, plan: Plan): Promise<Result> {
  const { random, pauseRatio, maxPauseMs, cancelAfterBytes } = plan;
  const pieces: Buffer[] = [];
  let receivedBytes = 0;
  return new Promise((resolve) => {
    const settle = (kind: Result["kind"]) => {
      clearTimeout(stall);
      resolve({ kind, body: Buffer.concat(pieces) });
    };
    const stall = setTimeout(() => settle("stalled"), STALL_MS);
    const running = pool.send({ method: "GET", path, headers: {} }, {
      onHead: () => undefined,
      onData: (piece) => {
        stall.refresh();
        pieces.push(Buffer.from(piece));
        receivedBytes += piece.length;
        if (receivedBytes > cancelAfterBytes) return running.cancel();
        if (random() >= pauseRatio) return;
        running.pause();
        setTimeout(() => running.resume(), random() * maxPauseMs);
      },
      onEnd: () => settle("complete"),
      onError: () => settle("failed"),
    });
  });
}

function createPlan(id: number): Plan {
  const random = createRandom(SEED * 1_000_000 + id);
  const pick = <T>(values: readonly T[]) =>
    values[Math.floor(random() * values.length)]!;
  const sizeBytes = Math.floor(
    random() < 0.4 ? random() * 4_000 : random() ** 3 * 1_500_000,
  );
  const body = Buffer.from(
    Uint8Array.from({ length: sizeBytes }, () => random() * 256),
  );
  const end = pick(ENDS);
  return {
    framing: pick(FRAMINGS),
    end,
    isKept: random() < 0.8,
    body,
    sentBytes: end === "whole" ? sizeBytes : Math.floor(random() * sizeBytes),
    maxChunkBytes: Math.max(pick(CHUNK_SIZES), sizeBytes / MAX_CHUNKS),
    pauseRatio: random() < 0.5 ? 0 : random() * 0.1,
    maxPauseMs: 1 + random() * 20,
    cancelAfterBytes: random() < 0.1
      ? Math.floor(random() * sizeBytes)
      : Number.POSITIVE_INFINITY,
    random,
  };
}

async function serve(
  t: TestContext,
  plans: readonly Plan[],
): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("data", (bytes) => {
      const id = /^GET \/(\d+) /.exec(bytes.toString("latin1"))?.[1];
      void sendAnswer(socket, plans[Number(id)]!);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function sendAnswer(socket: Socket, plan: Plan): Promise<void> {
  const { framing, end, body, sentBytes, random } = plan;
  const isClosed = framing === "connection" || !plan.isKept;
  let pending: (string | Buffer)[] = [renderHead(plan, isClosed)];
  let pendingBytes = 0;
  const flush = async () => {
    const bytes = pending.map((part) => Buffer.from(part));
    pending = [];
    pendingBytes = 0;
    if (socket.destroyed || socket.write(Buffer.concat(bytes))) return;
    await new Promise<void>((resolve) => {
      socket.once("drain", resolve).once("close", () => resolve());
    });
  };
  for (let at = 0; at < sentBytes && !socket.destroyed;) {
    const size = 1 + Math.floor(random() * plan.maxChunkBytes);
    const piece = body.subarray(at, Math.min(at + size, sentBytes));
    const isChunk = framing === "chunked";
    if (isChunk) pending.push(`${piece.length.toString(16)}\r\n`);
    pending.push(piece);
    if (isChunk) pending.push("\r\n");
    at += piece.length;
    pendingBytes += piece.length;
    if (pendingBytes > WRITE_BYTES || random() < 0.01) await flush();
  }
  if (end === "whole" && framing === "chunked") pending.push("0\r\n\r\n");
  await flush();
  if (end === "reset") {
    await delay(random() * 30);
    socket.resetAndDestroy();
  } else if (end === "cut" || isClosed) socket.end();
}

function renderHead({ framing, body }: Plan, isClosed: boolean): string {
  const fields = [
    ...(isClosed ? ["connection: close"] : []),
    ...(framing === "length" ? [`content-length: ${body.length}`] : []),
    ...(framing === "chunked" ? ["transfer-encoding: chunked"] : []),
  ];
  const lines = fields.map((field) => `${field}\r\n`).join("");
  return `HTTP/1.1 200 OK\r\n${lines}\r\n`;
}

/** Returns numbers from 0 to below 1, the same for each seed. */
function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let bits = Math.imul(state ^ (state >>> 15), 1 | state);
    bits = (bits + Math.imul(bits ^ (bits >>> 7), 61 | bits)) ^ bits;
    return ((bits ^ (bits >>> 14)) >>> 0) / 2 ** 32;
  };
}
