import assert from "node:assert/strict";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { HttpListener, readArrivalMs } from "./mod.ts";

interface Arrival {
  readonly path: string;
  readonly response: ServerResponse;
  readonly waitedMs: number;
}

/** Starts a server that collects its requests, and connects to it. */
async function start(t: TestContext) {
  const arrivals: Arrival[] = [];
  const listener = HttpListener.create({
    host: "127.0.0.1",
    port: 0,
    listener: (request, response) => {
      const waitedMs = performance.now() - readArrivalMs(request);
      arrivals.push({ path: request.url ?? "", response, waitedMs });
    },
  });
  const port = await listener.listen();
  const socket = connect({ host: "127.0.0.1", port });
  let text = "";
  socket.on("data", (chunk) => text += String(chunk));
  await once(socket, "connect");
  t.after(async () => {
    socket.destroy();
    // A connection that is not read on shows no close.
    for (const { response } of arrivals) response.destroy();
    await listener.close();
  });
  return { arrivals, socket, readText: () => text };
}

function renderRequests(count: number): string {
  const requests = Array.from(
    { length: count },
    (_, index) => `GET /${index} HTTP/1.1\r\nhost: a\r\n\r\n`,
  );
  return requests.join("");
}

async function waitFor(condition: () => boolean): Promise<void> {
  for (let polls = 0; !condition(); polls++) {
    assert.ok(polls < 500, "condition not met");
    await delay(5);
  }
}

// Guards against callers that start any number of requests by sending them ahead.
test("Of the requests sent ahead on a connection, eight are in progress at once", async (t) => {
  const { arrivals, socket, readText } = await start(t);
  socket.write(renderRequests(200));
  for (let index = 0; index < 200; index++) {
    await waitFor(() => arrivals.length >= Math.min(index + 8, 200));
    assert.ok(arrivals.length <= index + 8, `${arrivals.length} started`);
    arrivals[index]!.response.end(`<${index}>`);
  }
  await waitFor(() => readText().includes("<199>"));
  const bodies = [...readText().matchAll(/<(\d+)>/g)].map(([, id]) => id);
  assert.deepEqual(bodies, arrivals.map((_, index) => String(index)));
});

test("The time that a request waits for its turn counts from its arrival", async (t) => {
  const { arrivals, socket } = await start(t);
  socket.write(renderRequests(9));
  await waitFor(() => arrivals.length === 8);
  await delay(50);
  arrivals[0]!.response.end();
  await waitFor(() => arrivals.length === 9);
  assert.ok(arrivals[8]!.waitedMs >= 45, `${arrivals[8]!.waitedMs} ms`);
});

test("Requests that wait are dropped when their caller leaves", async (t) => {
  const { arrivals, socket } = await start(t);
  socket.write(renderRequests(10));
  await waitFor(() => arrivals.length === 8);
  socket.destroy();
  await once(arrivals[0]!.response, "close");
  await delay(20);
  assert.equal(arrivals.length, 8);
});

test("A connection that sends ahead without end is read no further", async (t) => {
  const { arrivals, socket } = await start(t);
  const requests = renderRequests(5_000);
  let sentBytes = 0;
  while (sentBytes < 100_000_000 && socket.write(requests)) {
    sentBytes += requests.length;
  }
  await waitFor(() => arrivals.length === 8);
  await delay(200);
  assert.ok(socket.writableLength > 0, "all has been read");
});
