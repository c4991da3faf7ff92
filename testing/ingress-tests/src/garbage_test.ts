/**
 * Callers, peers, targets and a store that send garbage to an entry process. It
 * has to go on serving, and no answer may be taken for one that it is not.
 */

import { Random } from "@dandelionbank/message-queue";
import type { SocketAddress } from "@dandelionbank/platform-adapter";
import {
  call,
  createConfiguration,
  EntryProgram,
  waitFor,
} from "@dandelionbank/run-entry";
import { SiteEngine, SiteStore } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";

const PIECES = [
  "GET / HTTP/1.1\r\n",
  "POST /safe/a HTTP/1.1\r\nhost: calls.example\r\n",
  "HTTP/1.1 200 OK\r\n",
  "HTTP/1.1 103 \r\n\r\n",
  "transfer-encoding: chunked\r\n",
  "content-length: 5\r\n",
  "content-length: -1\r\n",
  "ffffffffffffffff\r\n",
  "0\r\n\r\n",
  "\r\n",
  "\r\n\r\n",
  "\u0000",
  '{"entries":[{"metadata":{}}],"at":',
  "9".repeat(400),
  "x".repeat(2_000),
];
const MAX_PIECES = 8;
const SENDER_COUNT = 60;
/** Time in which a sender waits for the entry to close its connection. */
const SENDER_TIMEOUT_MS = 200;

test("An entry serves on while callers and peers send garbage", async (t) => {
  const { entry, random } = await startEntry(t);
  const { callers, readiness, directory } = entry.settings;
  const ports = [callers!, readiness!, directory!];
  const peers = createSocket("udp4");
  t.after(() => peers.close());
  for (let index = 0; index < SENDER_COUNT; index++) {
    await sendGarbage(random.pick(ports), createGarbage(random));
    const { ip, peerPort } = entry.settings;
    peers.send(createGarbage(random), peerPort, ip);
    assert.equal((await call(entry, { path: "/safe/a" })).status, 200);
  }
  assert.ok(entry.isRunning);
});

// Guards against processes that end by an error thrown in the listener of one
// request, here by a request target that is no URL.
test("A request target that is no URL ends only its own request", async (t) => {
  const { entry } = await startEntry(t);
  const { readiness, directory } = entry.settings;
  for (const target of ["//", "//:", "http://[", "/%ff", "*", "/\\\\a:b"]) {
    for (const address of [readiness!, directory!]) {
      await sendGarbage(address, `GET ${target} HTTP/1.1\r\nhost: a\r\n\r\n`);
    }
    assert.ok(entry.isRunning, entry.loggedLines.slice(-4).join("\n"));
    assert.equal((await call(entry, { path: "/safe/a" })).status, 200);
  }
  assert.ok(entry.isRunning);
});

test("No garbage of a target is taken for an answer", async (t) => {
  const { entry, random, engines } = await startEntry(t);
  engines[0]!.script = ({ response }) => {
    const { socket } = response;
    // The entry resets the connection.
    socket?.on("error", () => undefined);
    socket?.write(createGarbage(random));
    const end = random.pick(["ended", "reset", "left open"]);
    if (end === "ended") socket?.end();
    if (end === "reset") socket?.resetAndDestroy();
  };
  let served = 0;
  for (let index = 0; index < SENDER_COUNT; index++) {
    const body = `request ${index}`;
    const answer = await call(entry, { path: "/safe/a", body });
    assert.ok([200, 502, 503, 504].includes(answer.status));
    if (answer.status !== 200) continue;
    served += 1;
    assert.equal(answer.body, `whole answer ${body}`);
  }
  assert.ok(served > SENDER_COUNT / 2, `${served} served`);
  assert.ok(entry.isRunning);
});

test("An entry serves on with what it knows while its store sends garbage", async (t) => {
  const { entry, store, relay } = await startEntry(t);
  relay.isGarbage = true;
  await delay(1_000);
  assert.equal((await call(entry, { path: "/open/a" })).status, 200);
  relay.isGarbage = false;
  store.put("config", "main", { version: "nine", routes: 7 });
  store.put("servers", "bad", { address: [], slots: "many" });
  await waitFor(async () =>
    (await call(entry, { path: "/safe/a" })).status === 200
  );
  store.put("config", "main", createConfiguration({ version: 2, routes: [] }));
  await waitFor(async () =>
    (await call(entry, { path: "/safe/a" })).status === 404
  );
  assert.ok(entry.isRunning);
});

function createGarbage(random: Random): string {
  const count = random.int(1, MAX_PIECES);
  return Array.from({ length: count }, () => random.pick(PIECES)).join("");
}

/** Sends the bytes, and ends the connection unless the entry has closed it. */
async function sendGarbage(
  { host, port }: SocketAddress,
  bytes: string,
): Promise<void> {
  const socket = connect(port, host);
  socket.on("error", () => undefined);
  socket.on("data", () => undefined);
  socket.write(bytes, "latin1");
  const closed = once(socket, "close");
  await Promise.race([closed, delay(SENDER_TIMEOUT_MS)]);
  socket.destroy();
}

async function startEntry(t: TestContext) {
  const random = Random.create(22);
  const store = await SiteStore.create();
  t.after(() => store.close());
  store.put("config", "main", createConfiguration());
  const engines = await Promise.all(
    ["e0", "e1"].map((id) => SiteEngine.create(id)),
  );
  for (const engine of engines) {
    t.after(() => engine.close());
    store.put("servers", engine.id, engine.createServerSpec({ service: "s" }));
  }
  const relay = await startRelay(t, { store, random });
  const entry = await EntryProgram.start(t, { store: relay, number: 1 });
  await waitFor(async () =>
    (await call(entry, { path: "/safe/a" })).status === 200
  );
  return { entry, store, engines, relay, random };
}

/** Relays connections to the store, or answers what comes on them with garbage. */
async function startRelay(
  t: TestContext,
  { store, random }: { readonly store: SiteStore; readonly random: Random },
) {
  const relay = { address: "", isGarbage: false };
  const [host, port] = store.address.split(":");
  const sockets = new Set<Socket>();
  const server = createServer((caller) => {
    const upstream = connect(Number(port), host);
    for (const socket of [caller, upstream]) {
      sockets.add(socket);
      socket.on("error", () => undefined);
      socket.on("close", () => {
        caller.destroy();
        upstream.destroy();
      });
    }
    caller.on("data", (bytes) => {
      if (relay.isGarbage) caller.write(createGarbage(random), "latin1");
      else upstream.write(bytes);
    });
    upstream.on("data", (bytes) => {
      if (!relay.isGarbage) caller.write(bytes);
    });
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port: ownPort } = server.address() as { readonly port: number };
  relay.address = `127.0.0.1:${ownPort}`;
  t.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return relay;
}
