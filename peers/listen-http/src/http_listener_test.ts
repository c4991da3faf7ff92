import { DandelionError } from "@dandelionbank/error";
import assert from "node:assert/strict";
import { get } from "node:http";
import { test } from "node:test";
import { HttpListener } from "./mod.ts";

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
