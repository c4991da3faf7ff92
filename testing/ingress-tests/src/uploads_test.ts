/**
 * Callers that upload at once. A bound on the size of one body bounds neither what
 * its pieces cost nor the sum of all bodies; an entry that exceeds its memory is
 * killed, and the requests of other callers end with it.
 */

import {
  call,
  CALLER_KEY,
  createConfiguration,
  EntryProgram,
  ROUTE,
  ROUTE_HOST,
} from "@dandelionbank/run-entry";
import { HEADERS } from "@dandelionbank/platform-adapter";
import { SiteEngine, SiteStore } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";

/** `limits.memory_mb` of an entry on the users' platform. */
const MEMORY_BYTES = 350_000_000;
/** Limit of the heap, as in `deploy/system.toml`. */
const NODE_ARGS = ["--max-old-space-size=160"];
const MAX_BODY_BYTES = 4_194_304;
/** Chunks of one byte of one body; each costs the entry some 1 µs. */
const TINY_CHUNKS = 524_288;
const ENGINE_COUNT = 4;
const CALM_CALL_INTERVAL_MS = 20;
const ROUTES = [
  {
    ...ROUTE,
    name: "once",
    "path_prefix": "/once/",
    type: "non_idempotent",
    attempts: 1,
    "timeout_ms": 20_000,
  },
  { ...ROUTE, name: "safe", "path_prefix": "/safe/", type: "idempotent" },
];

test("Bodies in chunks of one byte don't drive an entry over its memory", async (t) => {
  const entry = await startEntry(t);
  const chunks = Buffer.from("1\r\nx\r\n".repeat(TINY_CHUNKS / 64));
  const statuses = await uploadBesideCalmCalls(entry, 8, async (socket) => {
    await write(socket, "transfer-encoding: chunked\r\n\r\n");
    for (let index = 0; index < 64; index++) await write(socket, chunks);
    await write(socket, "0\r\n\r\n");
  });
  assert.deepEqual(new Set(statuses), new Set([200]));
  assertWithinMemory(entry);
});

test("130 uploads of the largest size don't drive an entry over its memory", async (t) => {
  const entry = await startEntry(t);
  const statuses = await uploadBesideCalmCalls(entry, 130, async (socket) => {
    await write(socket, `content-length: ${MAX_BODY_BYTES}\r\n\r\n`);
    const piece = Buffer.alloc(MAX_BODY_BYTES / 64, "x");
    for (let index = 0; index < 64; index++) {
      await write(socket, piece);
      await delay(20);
    }
  });
  const others = statuses.filter((status) => status !== 200 && status !== 503);
  assert.deepEqual(others, []);
  assert.ok(statuses.includes(200), "no upload was served");
  assertWithinMemory(entry);
});

test("A body that is not whole at the route's timeout is refused by then", async (t) => {
  const entry = await startEntry(t);
  const startedMs = performance.now();
  const status = await upload(entry, 0, async (socket) => {
    await write(socket, "content-length: 2\r\n\r\nx");
    await once(socket, "close");
  }, "/safe/a");
  assert.equal(status, 503);
  const elapsedMs = performance.now() - startedMs;
  // The users' pages allow half a second beyond the timeout.
  assert.ok(elapsedMs < ROUTE["timeout_ms"] + 500, `${elapsedMs} ms`);
});

async function startEntry(t: TestContext): Promise<EntryProgram> {
  const store = await SiteStore.create();
  t.after(() => store.close());
  const configuration = createConfiguration({ routes: ROUTES });
  const limits = { ...configuration.limits, "max_body_bytes": MAX_BODY_BYTES };
  store.put("config", "main", { ...configuration, limits });
  for (let index = 0; index < ENGINE_COUNT; index++) {
    const engine = await SiteEngine.create(`e${index}`);
    t.after(() => engine.close());
    engine.script = ({ response, answerHeaders, body }) =>
      response.writeHead(200, answerHeaders).end(String(body.length));
    store.put("servers", engine.id, engine.createServerSpec({ service: "s" }));
  }
  return await EntryProgram.start(t, {
    store,
    number: 1,
    nodeArgs: NODE_ARGS,
  });
}

/** Returns the status of each upload; fails if a calm call is not served. */
async function uploadBesideCalmCalls(
  entry: EntryProgram,
  count: number,
  sendBody: (socket: Socket) => Promise<void>,
): Promise<readonly number[]> {
  let isUploading = true;
  const uploads = Promise.all(
    Array.from({ length: count }, (_, index) => upload(entry, index, sendBody)),
  ).finally(() => isUploading = false);
  while (isUploading) {
    const { status } = await call(entry, { path: "/safe/a" })
      .catch(() => ({ status: 0 }));
    assert.ok(entry.isRunning, entry.loggedLines.slice(-3).join("\n"));
    assert.equal(status, 200, "a calm call beside the uploads");
    await delay(CALM_CALL_INTERVAL_MS);
  }
  return await uploads;
}

/** Uploads on a connection of its own; returns the status, 0 without any. */
async function upload(
  { settings }: EntryProgram,
  index: number,
  sendBody: (socket: Socket) => Promise<void>,
  path = "/once/a",
): Promise<number> {
  const { host, port } = settings.callers!;
  const socket = connect({ host, port });
  let text = "";
  socket.on("data", (chunk) => text += String(chunk));
  socket.on("error", () => undefined);
  const answered = new Promise<void>((resolve) => {
    socket.on("data", () => resolve());
    socket.on("close", () => resolve());
  });
  const fields = [
    `POST ${path} HTTP/1.1`,
    `host: ${ROUTE_HOST}`,
    `${HEADERS.attemptId}: upload-${index}`,
    `${HEADERS.credential}: ${CALLER_KEY}`,
    "",
  ];
  await write(socket, fields.join("\r\n"));
  await Promise.race([sendBody(socket), answered]);
  await answered;
  socket.destroy();
  return Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0);
}

/** Resolves once the socket takes more bytes, or has closed. */
async function write(socket: Socket, bytes: string | Buffer): Promise<void> {
  if (socket.destroyed || socket.write(bytes)) return;
  await new Promise<void>((resolve) => {
    socket.once("drain", resolve);
    socket.once("close", () => resolve());
  });
}

function assertWithinMemory(entry: EntryProgram): void {
  const peakBytes = entry.readPeakResidentBytes();
  assert.ok(peakBytes < MEMORY_BYTES, `${peakBytes} bytes`);
}
