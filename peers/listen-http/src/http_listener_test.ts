import { DandelionError } from "@dandelionbank/error";
import assert from "node:assert/strict";
import { once } from "node:events";
import { get } from "node:http";
import { connect } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { HttpListener } from "./mod.ts";

/** More than sockets buffer. */
const ANSWER_BYTES = 32 * 1024 * 1024;

test("Closing waits for the request in flight and accepts no new connection", async () => {
  let notifyReceived = (): void => {};
  const isReceived = new Promise<void>((resolve) => {
    notifyReceived = () => resolve();
  });
  let answer = (): void => {};
  const listener = HttpListener.create({
    host: "127.0.0.1",
    port: 0,
    listener: (_, response) => {
      answer = () => response.end("complete");
      notifyReceived();
    },
  });
  const port = await listener.listen();
  const reply = readBody(port);
  await isReceived;

  const closed = listener.close();
  await assert.rejects(readBody(port), /ECONNREFUSED/);
  answer();

  assert.equal(await reply, "complete");
  await closed;
});

// Guards against a stop that cuts what a slow reader has not read of an answer.
test("Closing waits until a slow reader has the rest of its answer", async () => {
  const answer = Buffer.alloc(ANSWER_BYTES);
  let notifyEnded = (): void => {};
  const isEnded = new Promise<void>((resolve) => {
    notifyEnded = () => resolve();
  });
  const listener = HttpListener.create({
    host: "127.0.0.1",
    port: 0,
    listener: (_, response) => {
      response.setHeader("content-length", answer.length);
      response.end(answer);
      notifyEnded();
    },
  });
  const port = await listener.listen();
  const socket = connect(port, "127.0.0.1");
  socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  await isEnded;

  const closed = listener.close();
  await delay(100);
  let receivedBytes = 0;
  socket.on("data", (chunk: Buffer) => {
    receivedBytes += chunk.length;
  });
  await Promise.all([once(socket, "end"), closed]);

  assert.ok(receivedBytes > answer.length);
});

test("Closing closes a kept connection without a request at once", async () => {
  const listener = HttpListener.create({
    host: "127.0.0.1",
    port: 0,
    listener: (_, response) => response.end("complete"),
  });
  const port = await listener.listen();
  const socket = connect(port, "127.0.0.1");
  socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  await once(socket, "data");

  await Promise.all([once(socket, "close"), listener.close()]);
});

test("Closing closes a kept connection once its answer has ended", async () => {
  const listener = HttpListener.create({
    host: "127.0.0.1",
    port: 0,
    listener: (_, response) => {
      response.flushHeaders();
      setTimeout(() => response.end("complete"), 100);
    },
  });
  const port = await listener.listen();
  const socket = connect(port, "127.0.0.1");
  socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  await once(socket, "data");

  const closed = listener.close();
  let text = "";
  socket.on("data", (chunk: Buffer) => {
    text += String(chunk);
  });
  await Promise.all([once(socket, "close"), closed]);
  assert.match(text, /complete/);
});

test("Listening on an address in use fails with an error that names it", async () => {
  const options = { host: "127.0.0.1", listener: () => {} };
  const first = HttpListener.create({ ...options, port: 0 });
  const port = await first.listen();
  await assert.rejects(
    HttpListener.create({ ...options, port }).listen(),
    (error) => {
      assert.ok(error instanceof DandelionError);
      assert.equal(error.code, "DANDELIONBANK_LISTEN_FAILED");
      assert.equal(error.peer, `127.0.0.1:${port}`);
      return true;
    },
  );
  await first.close();
});

function readBody(port: number): Promise<string> {
  return new Promise((resolve, reject) => {
    get({ host: "127.0.0.1", port, agent: false }, (response) => {
      let body = "";
      response.setEncoding("utf8");
      response.on("data", (text: string) => {
        body += text;
      });
      response.on("end", () => resolve(body));
    }).on("error", reject);
  });
}
